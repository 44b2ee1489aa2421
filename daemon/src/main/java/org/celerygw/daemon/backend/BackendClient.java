package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.RunState;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.client.BufferedRequest;
import org.celerygw.daemon.client.HttpResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client for engines and tool services. Every call completes exactly once, on the event loop that started it. A failure
 * states whether the call ran: NOT_RUN only if no byte of it was written or the server rejected it.
 *
 * <pre>{@code
 * Backends client = Backends.open(vertx, System::currentTimeMillis, BackendSettings.DEFAULT);
 * BackendCall call = client.sendModelCall(request, listener);
 * call.cancel();
 * }</pre>
 */
public final class BackendClient {
    private static final Logger log = LoggerFactory.getLogger(BackendClient.class);

    private final BackendConnections connections;

    private BackendClient(BackendConnections connections) {
        this.connections = connections;
    }

    /**
     * Returns a client for all backend servers. Connections are opened on first use.
     *
     * @param vertx runs the connections
     * @param clock the source of the current time
     * @param settings the timeouts and limits
     * @return the client
     */
    public static BackendClient open(Vertx vertx, Clock clock, BackendSettings settings) {
        return new BackendClient(new BackendConnections(vertx, clock, settings));
    }

    /**
     * Sends a model call. A connection that fails or delivers no data is replaced, and the response is resumed.
     *
     * @param request the call
     * @param listener receives the response and the end of the call
     * @return a handle to cancel the call
     */
    public BackendCall sendModelCall(ModelRequest request, ModelListener listener) {
        return new EngineCall(connections, request, listener).start();
    }

    /**
     * Sends a tool call. A response with any status, also an error status, is an answered call.
     *
     * @param request the call
     * @param onComplete called once with the outcome
     * @return a handle to cancel the call
     */
    public BackendCall sendToolCall(ToolRequest request, Consumer<Outcome> onComplete) {
        BufferedRequest sent = connections.sendToolRequest(request, result -> onComplete.accept(toOutcome(result)));
        return sent::cancel;
    }

    /**
     * Queries a tool service for the outcome of a call whose response was lost.
     *
     * @param address the service's address
     * @param path the request path of this call's outcome
     * @param onComplete called with the outcome; empty unless the service responded with status 200
     */
    public void fetchToolOutcome(BackendAddress address, String path, Consumer<Optional<Outcome>> onComplete) {
        connections.get(
                address,
                path,
                result -> onComplete.accept(result.isOk() ? Optional.of(toOutcome(result)) : Optional.empty()));
    }

    /**
     * Requests an engine's load report.
     *
     * @param engine the engine
     * @param onComplete called with the load; empty if the engine sent no valid report in time
     */
    public void fetchLoad(BackendAddress engine, Consumer<Optional<EngineLoad>> onComplete) {
        get(engine, "/load", json -> onComplete.accept(parse(json, BackendClient::parseLoad)));
    }

    /**
     * Requests the changes of an engine's prefix cache.
     *
     * @param engine the engine
     * @param afterSequence the number of the last event already received; 0 for none
     * @param onComplete called with the later events, possibly with gaps; empty if the engine sent no valid report in
     *     time
     */
    public void fetchCacheEvents(
            BackendAddress engine, long afterSequence, Consumer<Optional<List<CacheEvent>>> onComplete) {
        get(
                engine,
                "/cache/events?after=" + afterSequence,
                json -> onComplete.accept(parse(json, BackendClient::parseCacheEvents)));
    }

    /**
     * Requests the programs for which an engine holds memory.
     *
     * @param engine the engine
     * @param onComplete called with the names of the programs; empty if the engine sent no valid report in time
     */
    public void fetchHeldPrograms(BackendAddress engine, Consumer<Optional<Set<String>>> onComplete) {
        get(engine, "/cache/held", json -> onComplete.accept(parse(json, BackendClient::parseHeldPrograms)));
    }

    /**
     * Orders an engine to release the memory that it holds for a program. The order is idempotent.
     *
     * @param engine the engine
     * @param program the program
     * @param onComplete called with true if the engine confirmed the release, otherwise with false
     */
    public void releaseProgram(BackendAddress engine, String program, Consumer<Boolean> onComplete) {
        JsonObject body = new JsonObject().put("program", program);
        post(
                engine,
                "/cache/release",
                body,
                json -> onComplete.accept(json.map(response -> program.equals(response.getValue("program"))
                                && Boolean.TRUE.equals(response.getValue("released")))
                        .orElse(false)));
    }

    /**
     * Orders an engine to serve models in a role. The order states the complete target state and is idempotent.
     *
     * @param engine the engine
     * @param order the order with its fencing token, in the engine's JSON format
     * @param onComplete called with the engine's state or its refusal; empty if the engine did not respond in time
     */
    public void sendOrder(BackendAddress engine, JsonObject order, Consumer<Optional<JsonObject>> onComplete) {
        post(engine, "/orders", order, onComplete);
    }

    /**
     * Requests the state of an engine: which models it serves.
     *
     * @param engine the engine
     * @param onComplete called with the state; empty if the engine did not respond in time
     */
    public void fetchState(BackendAddress engine, Consumer<Optional<JsonObject>> onComplete) {
        get(engine, "/state", onComplete);
    }

    /**
     * Closes all connections; calls in flight fail.
     *
     * @return completes when the connections are closed
     */
    public Future<Void> close() {
        return connections.close();
    }

    private void get(BackendAddress address, String path, Consumer<Optional<JsonObject>> onComplete) {
        connections.sendForJson(
                address, HttpMethod.GET, path, new JsonObject(), json -> onComplete.accept(Optional.ofNullable(json)));
    }

    private void post(BackendAddress address, String path, JsonObject body, Consumer<Optional<JsonObject>> onComplete) {
        connections.sendForJson(
                address, HttpMethod.POST, path, body, json -> onComplete.accept(Optional.ofNullable(json)));
    }

    private static Outcome toOutcome(HttpResult result) {
        RunState state = result.requestSent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        return switch (result.completion()) {
            case ANSWERED ->
                Outcome.answered(
                        result.status(),
                        result.contentType(),
                        ByteString.copyFrom(result.body().getBytes()),
                        0);
            case FAILED ->
                result.requestSent()
                        ? Outcome.failed(
                                ErrorCode.BACKEND_LOST,
                                state,
                                0,
                                "the connection to the service was lost before the response was complete")
                        : Outcome.failed(ErrorCode.NO_BACKEND, state, 0, "cannot connect to the service");
            case TIMED_OUT ->
                Outcome.failed(ErrorCode.DEADLINE_EXCEEDED, state, 0, "the service did not respond before the timeout");
            case CANCELLED -> Outcome.failed(ErrorCode.CANCELLED, state, 0, "the call was cancelled");
        };
    }

    /** Parses a report of an engine; an invalid one is logged and treated as missing. */
    private static <T> Optional<T> parse(Optional<JsonObject> json, Function<JsonObject, T> parser) {
        try {
            return json.map(parser);
        } catch (ClassCastException | IllegalArgumentException | NullPointerException e) {
            log.warn("backend: ignoring an invalid report from an engine: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private static Set<String> parseHeldPrograms(JsonObject json) {
        return Set.copyOf(json.getJsonObject("programs", new JsonObject()).fieldNames());
    }

    private static EngineLoad parseLoad(JsonObject json) {
        return new EngineLoad(
                json.getInteger("running", 0),
                json.getInteger("waiting", 0),
                json.getInteger("waiting_tokens", 0),
                json.getInteger("max_batch", 0),
                json.getInteger("cache_used_blocks", 0),
                json.getInteger("cache_blocks", 0));
    }

    private static List<CacheEvent> parseCacheEvents(JsonObject json) {
        return json.getJsonArray("events", new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .map(event -> new CacheEvent(
                        event.getLong("seq"),
                        "stored".equals(event.getString("kind")),
                        Long.parseLong(event.getString("hash"))))
                .toList();
    }
}
