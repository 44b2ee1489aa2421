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
    private static final long SILENCE_MS = 200;
    private static final String END_MARK = "data: [DONE]\n\n";

    private Vertx vertx;
    private EngineServer engine;
    private Backends backends;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        EngineOptions options =
                EngineOptions.onPort(0).withRates(2, 1_000_000, 40).withLags(0, 0, 0, 50);
        engine = EngineServer.start(vertx, options).await();
        backends = Backends.open(vertx, System::currentTimeMillis, BackendSettings.DEFAULT.withSilenceMs(SILENCE_MS));
    }

    @AfterMethod
    public void stop() {
        vertx.close().await();
    }

    @Test
    public void aStreamIsPassedOnWholeAndInOrder() throws Exception {
        Seen seen = call("hello", true);
        assertEquals(seen.text(), engine.expectedAnswer(body("hello", true)));
        assertEquals(seen.outcome().answer().toStringUtf8(), seen.events + END_MARK);
        assertEquals(seen.outcome().outputTokens(), seen.events.toString().split("\n\n").length);
    }

    @Test
    public void anAnswerThatIsNotStreamedMayTakeLongerThanTheSilenceBound() throws Exception {
        engine.close().await();
        engine = EngineServer.start(vertx, EngineOptions.onPort(0).withRates(30, 1_000_000, 40))
                .await();
        Outcome outcome = call("slow", false).outcome();
        assertEquals(content(outcome), engine.expectedAnswer(body("slow", false)));
        assertEquals(engine.completionCount(), 1);
    }

    @Test
    public void aStreamWhoseConnectionGoesSilentIsResumedWithoutLossOrRepetition() throws Exception {
        Seen seen = new Seen() {
            @Override
            public void onChunk(ByteString chunk) {
                if (events.length() == 0) {
                    engine.silenceConnections();
                }
                super.onChunk(chunk);
            }
        };
        begin("hello", true, seen);
        assertEquals(seen.text(), engine.expectedAnswer(body("hello", true)));
        assertEquals(engine.completionCount(), 1);
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "modes")
    public void anAnswerLostWithItsConnectionIsFetchedAgain(boolean stream) throws Exception {
        engine.faults().next(Fault.LOST_ANSWER, 1);
        Seen seen = call("hello", stream);
        String text = stream ? seen.text() : content(seen.outcome());
        assertEquals(text, engine.expectedAnswer(body("hello", stream)));
        assertEquals(engine.completionCount(), 1);
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {Fault.HALF, ErrorCode.BACKEND_LOST, RunState.UNKNOWN},
            {Fault.GARBAGE, ErrorCode.BACKEND_FAILED, RunState.UNKNOWN},
            {Fault.HANG, ErrorCode.BACKEND_LOST, RunState.UNKNOWN},
            {Fault.DOWN, ErrorCode.BACKEND_LOST, RunState.UNKNOWN},
            {Fault.FAILED, ErrorCode.BACKEND_FAILED, RunState.UNKNOWN},
            {Fault.REFUSED, ErrorCode.OVERLOADED, RunState.NOT_RUN},
        };
    }

    @Test(dataProvider = "failures")
    public void aFailureTellsTruthfullyWhetherTheCallRan(Fault fault, ErrorCode code, RunState state) throws Exception {
        engine.faults().next(fault, 1);
        Outcome streamed = call("hello", true).outcome();
        engine.faults().next(fault, 1);
        Outcome whole = call("hi", false).outcome();
        assertEquals(List.of(streamed.code(), streamed.runState()), List.of(code, state));
        assertEquals(List.of(whole.code(), whole.runState()), List.of(code, state));
    }

    @Test
    public void aRefusalCarriesTheEnginesRetryHint() throws Exception {
        engine.faults().next(Fault.REFUSED, 1);
        assertEquals(call("hello", true).outcome().retryAfterMs(), 200);
    }

    @Test
    public void anEngineThatDoesNotListenHasNotRunTheCall() throws Exception {
        engine.close().await();
        Outcome outcome = call("hello", true).outcome();
        assertEquals(outcome.code(), ErrorCode.NO_BACKEND);
        assertEquals(outcome.runState(), RunState.NOT_RUN);
    }

    @Test
    public void aCancelledCallEndsOnceAndStopsAtTheEngine() throws Exception {
        engine.close().await();
        engine = EngineServer.start(
                        vertx,
                        EngineOptions.onPort(0).withRates(20, 1_000_000, 4_000).withLags(0, 0, 0, 50))
                .await();
        CompletableFuture<BackendCall> started = new CompletableFuture<>();
        Seen seen = new Seen() {
            @Override
            public void onChunk(ByteString chunk) {
                started.join().cancel();
            }
        };
        vertx.runOnContext(v -> started.complete(backends.model(request("long", true, "p"), seen)));
        assertEquals(seen.outcome().code(), ErrorCode.CANCELLED);
        assertEquals(seen.outcome().runState(), RunState.UNKNOWN);
        while (load().running() > 0) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void callsUnderWayTogetherEachGetTheirOwnAnswer() throws Exception {
        List<Seen> all = IntStream.range(0, 50).mapToObj(i -> new Seen()).toList();
        vertx.runOnContext(v ->
                IntStream.range(0, 50).forEach(i -> backends.model(request("prompt " + i, true, "p" + i), all.get(i))));
        for (int i = 0; i < 50; i++) {
            assertEquals(all.get(i).text(), engine.expectedAnswer(body("prompt " + i, true)));
        }
    }

    @Test
    public void memoryHeldForAProgramIsReleasedByAnOrderThatMayBeRepeated() throws Exception {
        call("x".repeat(500), true);
        assertTrue(BackendsTest.<Optional<Set<String>>>wait(vertx, done -> backends.heldPrograms(address(), done))
                .orElseThrow()
                .contains("p"));
        for (int i = 0; i < 2; i++) {
            assertTrue(BackendsTest.<Boolean>wait(vertx, done -> backends.release(address(), "p", done)));
        }
        assertTrue(BackendsTest.<Optional<Set<String>>>wait(vertx, done -> backends.heldPrograms(address(), done))
                .orElseThrow()
                .isEmpty());
    }

    private Seen call(String prompt, boolean stream) throws Exception {
        Seen seen = new Seen();
        begin(prompt, stream, seen);
        return seen;
    }

    private void begin(String prompt, boolean stream, Seen seen) throws Exception {
        vertx.runOnContext(v -> backends.model(request(prompt, stream, "p"), seen));
        seen.outcome();
    }

    private ModelRequest request(String prompt, boolean stream, String program) {
        ByteString bytes = ByteString.copyFromUtf8(body(prompt, stream).encode());
        String id = program + "/" + System.nanoTime();
        return new ModelRequest(address(), id, program, 0, bytes, 20_000);
    }

    private LoadReport load() throws Exception {
        return BackendsTest.<Optional<LoadReport>>wait(vertx, done -> backends.load(address(), done))
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

    /** Records what a listener is told, and fails when it is told the end twice. */
    private static class Seen implements ModelListener {
        final StringBuilder events = new StringBuilder();
        private final CompletableFuture<Outcome> end = new CompletableFuture<>();

        @Override
        public void onChunk(ByteString chunk) {
            events.append(chunk.toStringUtf8());
        }

        @Override
        public void onEnd(Outcome outcome) {
            assertTrue(end.complete(outcome), "ended twice");
        }

        Outcome outcome() throws Exception {
            return end.get(20, TimeUnit.SECONDS);
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
