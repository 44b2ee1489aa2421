package org.celerygw.gateway.watch;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.gateway.log.StepFailures;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class WatchTest {
    private final Deque<Runnable> timers = new ArrayDeque<>();
    private final List<String> received = new ArrayList<>();
    private int version;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new StackOverflowError()}, {new OutOfMemoryError()}, {new AssertionError()}, {new NumberFormatException()}
        };
    }

    /** Guards against the failure that one error of a listener ends the watch for the life of the process. */
    @Test(dataProvider = "failures")
    public void watchGoesOnWhateverItsListenerThrows(Throwable failure) {
        timers.clear();
        received.clear();
        long failedBefore = StepFailures.count();
        Watch watch = new Watch(
                new Feed(), () -> 0, (delayMs, task) -> timers.add(task), () -> 1, new FailingListener(failure));
        StepFailures.run("start", watch::start);
        for (int i = 0; i < 4; i++) {
            StepFailures.run("timer", timers.remove());
        }
        assertEquals(received, List.of("snapshot", "changes", "changes", "changes", "changes"));
        assertEquals(StepFailures.count() - failedBefore, 5);
    }

    /** Guards against a configuration that is late by the rest of a long poll whose connection has gone silent. */
    @Test
    public void rereadDeliversRowsWhileThePollIsSilent() {
        received.clear();
        RowFeed silent = new RowFeed() {
            @Override
            public void readAll(Consumer<Result> callback) {
                new Feed().readAll(callback);
            }

            @Override
            public void awaitChanges(long after, long waitMs, Consumer<Result> callback) {
                received.add("poll of " + waitMs);
            }
        };
        Watch watch = new Watch(
                silent, () -> 0, (delayMs, task) -> task.run(), () -> 1, () -> 20_000, new FailingListener(null));
        watch.start();
        watch.reread();
        assertEquals(received, List.of("poll of 20000", "snapshot", "snapshot"));
    }

    /** A feed that answers at once, each time with a changed row. */
    private final class Feed implements RowFeed {
        @Override
        public void readAll(Consumer<Result> callback) {
            awaitChanges(0, 0, callback);
        }

        @Override
        public void awaitChanges(long after, long waitMs, Consumer<Result> callback) {
            version++;
            callback.accept(new Result(Status.OK, version, List.of(new Row("k", version, ByteString.EMPTY))));
        }
    }

    private final class FailingListener implements Watch.Listener {
        private final Throwable failure;

        FailingListener(Throwable failure) {
            this.failure = failure;
        }

        @Override
        public void onSnapshot(List<Row> rows) {
            fail("snapshot");
        }

        @Override
        public void onChanges(List<Row> rows) {
            fail("changes");
        }

        @Override
        public void onUnavailable() {}

        @Override
        public void onAvailable() {}

        private void fail(String call) {
            received.add(call);
            if (failure == null) {
                return;
            }
            if (failure instanceof Error error) {
                throw error;
            }
            throw (RuntimeException) failure;
        }
    }
}
