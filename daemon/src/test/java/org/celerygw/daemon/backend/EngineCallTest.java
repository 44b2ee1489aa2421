package org.celerygw.daemon.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.standin.EngineOptions;
import org.celerygw.standin.EngineServer;
import org.celerygw.standin.Fault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class EngineCallTest {
    private static final long SILENCE_TIMEOUT_MS = 200;
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private Vertx vertx;
    private EngineServer engine;
    private BackendClient client;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        EngineOptions options =
                EngineOptions.onPort(0).withRates(2, 1_000_000, 40).withLags(0, 0, 0, 50);
        engine = EngineServer.start(vertx, options).await();
        client = BackendClient.open(
                vertx, System::currentTimeMillis, BackendSettings.DEFAULT.withSilenceTimeoutMs(SILENCE_TIMEOUT_MS));
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void streamIsForwardedCompletelyAndInOrder() throws Exception {
        RecordingListener listener = call("hello", true);
        assertEquals(listener.text(), engine.expectedAnswer(body("hello", true)));
        assertEquals(listener.outcome().answer().toStringUtf8(), listener.events + DONE_EVENT);
        assertEquals(
                listener.outcome().outputTokens(), listener.events.toString().split("\n\n").length);
    }

    @Test
    public void responseWithoutStreamingMayTakeLongerThanSilenceTimeout() throws Exception {
        engine.close().await();
        engine = EngineServer.start(vertx, EngineOptions.onPort(0).withRates(30, 1_000_000, 40))
                .await();
        Outcome outcome = call("slow", false).outcome();
        assertEquals(content(outcome), engine.expectedAnswer(body("slow", false)));
        assertEquals(engine.completionCount(), 1);
    }

    @Test
    public void streamOnSilentConnectionIsResumedWithoutLossOrDuplication() throws Exception {
        RecordingListener listener = new RecordingListener() {
            @Override
            public void onChunk(ByteString chunk) {
                if (events.length() == 0) {
                    engine.silenceConnections();
                }
                super.onChunk(chunk);
            }
        };
        callAndAwaitEnd("hello", true, listener);
        assertEquals(listener.text(), engine.expectedAnswer(body("hello", true)));
        assertEquals(engine.completionCount(), 1);
    }

    @DataProvider
    public Object[][] streamingModes() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "streamingModes")
    public void responseLostWithItsConnectionIsFetchedOverNewConnection(boolean stream) throws Exception {
        engine.faults().injectNext(Fault.LOST_ANSWER, 1);
        RecordingListener listener = call("hello", stream);
        String text = stream ? listener.text() : content(listener.outcome());
        assertEquals(text, engine.expectedAnswer(body("hello", stream)));
        assertEquals(engine.completionCount(), 1);
    }

    @DataProvider
    public Object[][] faultsAndOutcomes() {
        return new Object[][] {
            {Fault.HALF, ErrorCode.BACKEND_LOST, RunState.UNKNOWN},
            {Fault.GARBAGE, ErrorCode.BACKEND_FAILED, RunState.UNKNOWN},
            {Fault.HANG, ErrorCode.BACKEND_LOST, RunState.UNKNOWN},
            {Fault.DOWN, ErrorCode.BACKEND_LOST, RunState.UNKNOWN},
            {Fault.FAILED, ErrorCode.BACKEND_FAILED, RunState.UNKNOWN},
            {Fault.REFUSED, ErrorCode.OVERLOADED, RunState.NOT_RUN},
        };
    }

    @Test(dataProvider = "faultsAndOutcomes")
    public void failureReportsWhetherCallRan(Fault fault, ErrorCode code, RunState state) throws Exception {
        engine.faults().injectNext(fault, 1);
        Outcome streamed = call("hello", true).outcome();
        engine.faults().injectNext(fault, 1);
        Outcome buffered = call("hi", false).outcome();
        assertEquals(List.of(streamed.code(), streamed.runState()), List.of(code, state));
        assertEquals(List.of(buffered.code(), buffered.runState()), List.of(code, state));
    }

    @Test
    public void overloadFailureCarriesRetryAfterOfEngine() throws Exception {
        engine.faults().injectNext(Fault.REFUSED, 1);
        assertEquals(call("hello", true).outcome().retryAfterMs(), 200);
    }

    @Test
    public void refusedConnectionIsReportedAsNotRun() throws Exception {
        engine.close().await();
        Outcome outcome = call("hello", true).outcome();
        assertEquals(outcome.code(), ErrorCode.NO_BACKEND);
        assertEquals(outcome.runState(), RunState.NOT_RUN);
    }

    @Test
    public void cancelledCallEndsOnceAndIsStoppedAtEngine() throws Exception {
        engine.close().await();
        engine = EngineServer.start(
                        vertx,
                        EngineOptions.onPort(0).withRates(20, 1_000_000, 4_000).withLags(0, 0, 0, 50))
                .await();
        CompletableFuture<BackendCall> started = new CompletableFuture<>();
        RecordingListener listener = new RecordingListener() {
            @Override
            public void onChunk(ByteString chunk) {
                started.join().cancel();
            }
        };
        vertx.runOnContext(v -> started.complete(client.sendModelCall(request("long", true, "p"), listener)));
        assertEquals(listener.outcome().code(), ErrorCode.CANCELLED);
        assertEquals(listener.outcome().runState(), RunState.UNKNOWN);
        while (fetchLoad().running() > 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void concurrentCallsEachReceiveTheirOwnResponse() throws Exception {
        List<RecordingListener> listeners =
                IntStream.range(0, 50).mapToObj(i -> new RecordingListener()).toList();
        vertx.runOnContext(v -> IntStream.range(0, 50)
                .forEach(i -> client.sendModelCall(request("prompt " + i, true, "p" + i), listeners.get(i))));
        for (int i = 0; i < 50; i++) {
            assertEquals(listeners.get(i).text(), engine.expectedAnswer(body("prompt " + i, true)));
        }
    }

    @Test
    public void releaseOfProgramMemoryIsIdempotent() throws Exception {
        call("x".repeat(500), true);
        assertTrue(BackendsTest.<Optional<Set<String>>>await(
                        vertx, callback -> client.fetchHeldPrograms(address(), callback))
                .orElseThrow()
                .contains("p"));
        for (int i = 0; i < 2; i++) {
            assertTrue(BackendsTest.<Boolean>await(vertx, callback -> client.releaseProgram(address(), "p", callback)));
        }
        assertTrue(BackendsTest.<Optional<Set<String>>>await(
                        vertx, callback -> client.fetchHeldPrograms(address(), callback))
                .orElseThrow()
                .isEmpty());
    }

    private RecordingListener call(String prompt, boolean stream) throws Exception {
        RecordingListener listener = new RecordingListener();
        callAndAwaitEnd(prompt, stream, listener);
        return listener;
    }

    private void callAndAwaitEnd(String prompt, boolean stream, RecordingListener listener) throws Exception {
        vertx.runOnContext(v -> client.sendModelCall(request(prompt, stream, "p"), listener));
        listener.outcome();
    }

    private ModelRequest request(String prompt, boolean stream, String program) {
        ByteString bytes = ByteString.copyFromUtf8(body(prompt, stream).encode());
        String requestId = program + "/" + System.nanoTime();
        return new ModelRequest(address(), requestId, program, 0, bytes, 20_000);
    }

    private EngineLoad fetchLoad() throws Exception {
        return BackendsTest.<Optional<EngineLoad>>await(vertx, callback -> client.fetchLoad(address(), callback))
                .orElseThrow();
    }

    private BackendAddress address() {
        return new BackendAddress("127.0.0.1", engine.port());
    }

    private static JsonObject body(String prompt, boolean stream) {
        JsonObject message = new JsonObject().put("role", "user").put("content", prompt);
        return new JsonObject().put("model", "m").put("stream", stream).put("messages", new JsonArray().add(message));
    }

    private static String content(Outcome outcome) {
        return new JsonObject(outcome.answer().toStringUtf8())
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message")
                .getString("content");
    }

    /** Records the events and the outcome, and fails if the end is reported twice. */
    private static class RecordingListener implements ModelListener {
        final StringBuilder events = new StringBuilder();
        private final CompletableFuture<Outcome> outcomeFuture = new CompletableFuture<>();

        @Override
        public void onChunk(ByteString chunk) {
            events.append(chunk.toStringUtf8());
        }

        @Override
        public void onEnd(Outcome outcome) {
            assertTrue(outcomeFuture.complete(outcome), "onEnd was called twice");
        }

        Outcome outcome() throws Exception {
            return outcomeFuture.get(20, TimeUnit.SECONDS);
        }

        String text() throws Exception {
            assertTrue(outcome().isAnswer(), outcome().message());
            return Stream.of(events.toString().split("\n\n"))
                    .map(event -> new JsonObject(event.substring("data: ".length())))
                    .map(chunk -> chunk.getJsonArray("choices").getJsonObject(0))
                    .map(choice -> choice.getJsonObject("delta").getString("content"))
                    .reduce("", String::concat);
        }
    }
}
