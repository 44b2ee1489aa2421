package org.celerygw.daemon.backend;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.net.Socket;
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
    /** For calls that must be answered; the first one in a new JVM takes several hundred ms. */
    private static final long TIMEOUT_MS = 15_000;

    /** For calls that are never answered. */
    private static final long SILENCE_TIMEOUT_MS = 400;

    private Vertx vertx;
    private ToolServer toolServer;
    private BackendClient client;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        toolServer = ToolServer.start(vertx, 0).await();
        client = BackendClient.open(vertx, System::currentTimeMillis, BackendSettings.DEFAULT);
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void toolCallReturnsCompleteResponseAndSendsIdempotencyKey() throws Exception {
        Outcome outcome = call("k1", false);
        assertEquals(outcome.runState(), RunState.RUN);
        assertEquals(
                outcome.answer().toStringUtf8(), toolServer.executions().get(0).responseBody());
        assertEquals(toolServer.executions().get(0).idempotencyKey(), "k1");
    }

    @Test
    public void refusedConnectionIsReportedAsNotRun() throws Exception {
        // A bound socket that does not listen refuses connections and keeps other processes off its port.
        try (Socket bound = new Socket()) {
            bound.bind(new InetSocketAddress("127.0.0.1", 0));
            Outcome outcome = call(new BackendAddress("127.0.0.1", bound.getLocalPort()), "k1", false, TIMEOUT_MS);
            assertEquals(List.of(outcome.code(), outcome.runState()), List.of(ErrorCode.NO_BACKEND, RunState.NOT_RUN));
        }
    }

    @DataProvider
    public Object[][] faultsAfterSending() {
        return new Object[][] {
            {Fault.LOST_ANSWER, ErrorCode.BACKEND_LOST},
            {Fault.HALF, ErrorCode.BACKEND_LOST},
            {Fault.DOWN, ErrorCode.BACKEND_LOST},
            {Fault.HANG, ErrorCode.DEADLINE_EXCEEDED},
        };
    }

    @Test(dataProvider = "faultsAfterSending")
    public void responseLossIsReportedWithUnknownRunState(Fault fault, ErrorCode code) throws Exception {
        toolServer.faults().injectNext(fault, 1);
        long timeoutMs = fault == Fault.HANG ? SILENCE_TIMEOUT_MS : TIMEOUT_MS;
        Outcome outcome = call(address(), "k1", false, timeoutMs);
        assertEquals(List.of(outcome.code(), outcome.runState()), List.of(code, RunState.UNKNOWN));
    }

    @Test
    public void nonRepeatableCallNeverUsesPooledConnection() throws Exception {
        assertEquals(call("k1", true).runState(), RunState.RUN);
        toolServer.silenceConnections();
        assertEquals(call("k2", false).runState(), RunState.RUN);
        assertEquals(toolServer.executions().size(), 2);
    }

    @Test
    public void silentPooledConnectionFailsOneRepeatableCallAndIsThenReplaced() throws Exception {
        assertEquals(call("k1", true).runState(), RunState.RUN);
        toolServer.silenceConnections();
        assertEquals(call(address(), "k2", true, SILENCE_TIMEOUT_MS).runState(), RunState.UNKNOWN);
        assertEquals(call("k3", true).runState(), RunState.RUN);
    }

    @Test
    public void outcomeOfLostResponseIsFetchedByIdempotencyKey() throws Exception {
        toolServer.faults().injectNext(Fault.LOST_ANSWER, 1);
        call("k1", false);
        Optional<Outcome> found =
                await(vertx, callback -> client.fetchToolOutcome(address(), "/outcomes/k1", callback));
        Optional<Outcome> missing =
                await(vertx, callback -> client.fetchToolOutcome(address(), "/outcomes/k2", callback));
        assertEquals(
                found.orElseThrow().answer().toStringUtf8(),
                toolServer.executions().get(0).responseBody());
        assertEquals(missing, Optional.empty());
    }

    private Outcome call(String key, boolean repeatable) throws Exception {
        return call(address(), key, repeatable, TIMEOUT_MS);
    }

    private Outcome call(BackendAddress address, String key, boolean repeatable, long timeoutMs) throws Exception {
        ByteString body = ByteString.copyFromUtf8("{\"calf\":7}");
        ToolRequest request =
                new ToolRequest(address, "/records/declare", key, "application/json", body, timeoutMs, repeatable);
        return await(vertx, callback -> client.sendToolCall(request, callback));
    }

    private BackendAddress address() {
        return new BackendAddress("127.0.0.1", toolServer.port());
    }

    static <T> T await(Vertx vertx, Consumer<Consumer<T>> asyncCall) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        vertx.runOnContext(v -> asyncCall.accept(result::complete));
        return result.get(20, TimeUnit.SECONDS);
    }
}
