package org.celerygw.daemon.route;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.Owner;
import org.celerygw.core.owner.OwnerSettings;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.daemon.work.OwnerHost;
import org.celerygw.daemon.work.Responder;
import org.celerygw.daemon.work.Sender;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OwnerRouterTest {
    private static final HostId HERE = new HostId("here");
    private static final long DEADLINE_MS = 1_000;

    private final Deque<Runnable> later = new ArrayDeque<>();
    private final List<Outcome> answers = new ArrayList<>();
    private Vertx vertx;
    private OwnerHost local;
    private long nowMs;

    @BeforeMethod
    public void setUp() {
        later.clear();
        answers.clear();
        nowMs = 0;
        vertx = Vertx.vertx();
        local = new OwnerHost(new OwnerHost.Parts(
                vertx.getOrCreateContext(),
                () -> nowMs,
                new Owner(HERE, OwnerSettings.DEFAULT),
                new SilentStore(),
                new SilentStore(),
                new NoSender(),
                () -> {},
                line -> {},
                spent -> {}));
        local.tell(new Event.HostsSeen(new TreeSet<>(List.of(new HostId("there")))));
    }

    @AfterMethod
    public void tearDown() {
        vertx.close().await();
    }

    @Test
    public void callWithoutAnyOwnerIsNotSaidNotToHaveRun() {
        submit((host, method, request, deadlineMs, responder) -> {
            responder.end(Outcome.failed(ErrorCode.NOT_OWNER, RunState.NOT_RUN, 100, ""));
            return () -> {};
        });
        while (!later.isEmpty()) {
            nowMs += 100;
            later.poll().run();
        }
        assertEquals(answers.size(), 1);
        assertEquals(answers.get(0).code(), ErrorCode.DEADLINE_EXCEEDED);
        assertEquals(answers.get(0).runState(), RunState.UNKNOWN);
    }

    private void submit(Peers peers) {
        new OwnerRouter(local, peers, () -> nowMs, (delayMs, task) -> later.add(task))
                .submit(call(), Responder.outcome(answers::add));
    }

    private static CallRequest call() {
        return new CallRequest(
                new CustomerId("c"),
                new CallId(new ProgramId("p"), 1),
                new IdempotencyKey("k"),
                CallKind.TOOL,
                "records",
                false,
                DEADLINE_MS,
                ByteString.EMPTY,
                "/x",
                ByteString.EMPTY,
                0,
                0,
                List.of());
    }

    /** A store that never answers. */
    private static final class SilentStore implements Table, ObjectStore {
        @Override
        public void write(Txn txn, Consumer<TxnResult> done) {}

        @Override
        public void read(List<String> keys, Consumer<Answer> done) {}

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {}

        @Override
        public void put(String name, ByteString content, Consumer<Boolean> done) {}

        @Override
        public void get(String name, Consumer<Fetched> done) {}

        @Override
        public void delete(String name, Consumer<Boolean> done) {}
    }

    /** A sender that nothing reaches. */
    private static final class NoSender implements Sender {
        @Override
        public void dispatch(
                Effect.Dispatch dispatch, BiConsumer<Long, ByteString> stream, Consumer<Event.Finished> done) {}

        @Override
        public void abort(CallId call, long attempt) {}

        @Override
        public void askOutcome(Effect.AskOutcome ask, Consumer<Event.OutcomeFound> done) {}

        @Override
        public void release(ProgramId program) {}
    }
}
