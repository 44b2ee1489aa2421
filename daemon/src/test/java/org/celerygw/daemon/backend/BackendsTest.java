package org.celerygw.daemon.backend;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.standin.Fault;
import org.celerygw.standin.ToolServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class BackendsTest {
    private static final long TIMEOUT_MS = 400;

    private Vertx vertx;
    private ToolServer tools;
    private Backends backends;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        tools = ToolServer.start(vertx, 0).await();
        backends = Backends.open(vertx, System::currentTimeMillis, BackendSettings.DEFAULT);
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void aToolCallIsAnsweredWholeAndCarriesItsKey() throws Exception {
        Outcome outcome = call("k1", false);
        assertEquals(outcome.runState(), RunState.RUN);
        assertEquals(outcome.answer().toStringUtf8(), tools.executions().get(0).answer());
        assertEquals(tools.executions().get(0).idempotencyKey(), "k1");
    }

    @Test
    public void aServiceThatDoesNotListenHasNotRunTheCall() throws Exception {
        tools.close().await();
        Outcome outcome = call("k1", false);
        assertEquals(List.of(outcome.code(), outcome.runState()), List.of(ErrorCode.NO_BACKEND, RunState.NOT_RUN));
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {Fault.LOST_ANSWER, ErrorCode.BACKEND_LOST},
            {Fault.HALF, ErrorCode.BACKEND_LOST},
            {Fault.DOWN, ErrorCode.BACKEND_LOST},
            {Fault.HANG, ErrorCode.DEADLINE_EXCEEDED},
        };
    }

    @Test(dataProvider = "losses")
    public void aLostAnswerLeavesItOpenWhetherTheCallRan(Fault fault, ErrorCode code) throws Exception {
        tools.faults().next(fault, 1);
        Outcome outcome = call("k1", false);
        assertEquals(List.of(outcome.code(), outcome.runState()), List.of(code, RunState.UNKNOWN));
    }

    @Test
    public void aCallThatMayNotBeRepeatedNeverMeetsAConnectionThatWentSilent() throws Exception {
        call("k1", true);
        tools.silenceConnections();
        assertEquals(call("k2", false).runState(), RunState.RUN);
        assertEquals(tools.executions().size(), 2);
    }

    @Test
    public void aSilentConnectionFailsOneRepeatableCallAndThenIsReplaced() throws Exception {
        call("k1", true);
        tools.silenceConnections();
        assertEquals(call("k2", true).runState(), RunState.UNKNOWN);
        assertEquals(call("k3", true).runState(), RunState.RUN);
    }

    @Test
    public void theOutcomeOfALostAnswerIsAskedByKey() throws Exception {
        tools.faults().next(Fault.LOST_ANSWER, 1);
        call("k1", false);
        Optional<Outcome> found = wait(vertx, done -> backends.toolOutcome(address(), "/outcomes/k1", done));
        Optional<Outcome> missing = wait(vertx, done -> backends.toolOutcome(address(), "/outcomes/k2", done));
        assertEquals(
                found.orElseThrow().answer().toStringUtf8(),
                tools.executions().get(0).answer());
        assertEquals(missing, Optional.empty());
    }

    private Outcome call(String key, boolean repeatable) throws Exception {
        ByteString body = ByteString.copyFromUtf8("{\"calf\":7}");
        ToolRequest request =
                new ToolRequest(address(), "/records/declare", key, "application/json", body, TIMEOUT_MS, repeatable);
        return wait(vertx, done -> backends.tool(request, done));
    }

    private BackendAddress address() {
        return new BackendAddress("127.0.0.1", tools.port());
    }

    static <T> T wait(Vertx vertx, Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        vertx.runOnContext(v -> call.accept(result::complete));
        return result.get(20, TimeUnit.SECONDS);
    }
}
