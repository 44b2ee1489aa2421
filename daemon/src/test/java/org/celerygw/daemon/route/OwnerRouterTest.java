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
import org.celerygw.daemon.work.OwnerRunner;
import org.celerygw.daemon.work.Responder;
import org.celerygw.daemon.work.Sender;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how requests are routed to the owner of a program, against a fake of the other hosts. */
public class OwnerRouterTest {
    private static final HostId LOCAL_HOST = new HostId("here");
    private static final long DEADLINE_MS = 1_000;

    private final Deque<Runnable> scheduledTasks = new ArrayDeque<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private Vertx vertx;
    private OwnerRunner localOwner;
    private long nowMs;

    @BeforeMethod
    public void setUp() {
        scheduledTasks.clear();
        outcomes.clear();
        nowMs = 0;
        vertx = Vertx.vertx();
        localOwner = new OwnerRunner(new OwnerRunner.Dependencies(
                vertx.getOrCreateContext(),
                () -> nowMs,
                new Owner(LOCAL_HOST, OwnerSettings.DEFAULT),
                new UnresponsiveStore(),
                new UnresponsiveStore(),
                new NoOpSender(),
                () -> {},
                line -> {},
                spent -> {}));
        localOwner.handle(new Event.HostsUpdated(new TreeSet<>(List.of(new HostId("there")))));
    }

    @AfterMethod
    public void tearDown() {
        vertx.close().await();
    }

    /**
     * Guards against a call that is reported as NOT_RUN because its last attempt did not run. An earlier request with
     * the same idempotency key may have run, and only the owner knows.
     */
    @Test
    public void callThatReachesNoOwnerFailsAsUnknown() {
        submit((host, method, request, deadlineMs, responder) -> {
            responder.end(Outcome.failed(ErrorCode.NOT_OWNER, RunState.NOT_RUN, 100, ""));
            return () -> {};
        });
        while (!scheduledTasks.isEmpty()) {
            nowMs += 100;
            scheduledTasks.poll().run();
        }
        assertEquals(outcomes.size(), 1);
        assertEquals(outcomes.get(0).code(), ErrorCode.DEADLINE_EXCEEDED);
        assertEquals(outcomes.get(0).runState(), RunState.UNKNOWN);
    }

    private void submit(PeerClient peerClient) {
        new OwnerRouter(localOwner, peerClient, () -> nowMs, (delayMs, task) -> scheduledTasks.add(task))
                .submit(call(), Responder.forOutcome(outcomes::add));
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

    /** A store that never calls its callbacks. */
    private static final class UnresponsiveStore implements Table, ObjectStore {
        @Override
        public void write(Txn txn, Consumer<TxnResult> callback) {}

        @Override
        public void read(List<String> keys, Consumer<ReadResult> callback) {}

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {}

        @Override
        public void put(String name, ByteString content, Consumer<Boolean> callback) {}

        @Override
        public void get(String name, Consumer<GetResult> callback) {}

        @Override
        public void delete(String name, Consumer<Boolean> callback) {}
    }

    /** A sender that sends nothing. */
    private static final class NoOpSender implements Sender {
        @Override
        public void dispatch(
                Effect.Dispatch dispatch, BiConsumer<Long, ByteString> stream, Consumer<Event.CallFinished> callback) {}

        @Override
        public void abort(CallId call, long attempt) {}

        @Override
        public void queryOutcome(Effect.QueryOutcome ask, Consumer<Event.OutcomeReported> callback) {}

        @Override
        public void releaseCache(ProgramId program) {}
    }
}
