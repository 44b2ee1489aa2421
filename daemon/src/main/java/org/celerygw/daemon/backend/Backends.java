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
import org.celerygw.daemon.client.Reply;
import org.celerygw.daemon.client.WholeRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends calls to engines and tool services. Every call ends exactly once, on the event loop that began it, and a
 * failure says truthfully whether the call ran: NOT_RUN only when no byte of it was written or the server refused it.
 *
 * <pre>{@code
 * Backends backends = Backends.open(vertx, System::currentTimeMillis, BackendSettings.DEFAULT);
 * BackendCall call = backends.model(request, listener);
 * call.cancel();
 * }</pre>
 */
public final class Backends {
    private static final Logger log = LoggerFactory.getLogger(Backends.class);

    private final Connections connections;

    private Backends(Connections connections) {
        this.connections = connections;
    }

    /**
     * Returns the way to all backend servers; connections open at the first use.
     *
     * @param vertx runs the connections
     * @param clock tells the time
     * @param settings the bounds
     * @return the way to the backend servers
     */
    public static Backends open(Vertx vertx, Clock clock, BackendSettings settings) {
        return new Backends(new Connections(vertx, clock, settings));
    }

    /**
     * Sends a model call. A connection that breaks or goes silent is replaced and the answer resumed.
     *
     * @param request the call
     * @param listener told of its progress and its end
     * @return the call, to be cancelled
     */
    public BackendCall model(ModelRequest request, ModelListener listener) {
        return new EngineCall(connections, request, listener).start();
    }

    /**
     * Sends a tool call. Whatever status the service answers is the call's answer.
     *
     * @param request the call
     * @param done told once how it ended
     * @return the call, to be cancelled
     */
    public BackendCall tool(ToolRequest request, Consumer<Outcome> done) {
        WholeRequest sent = connections.tool(request, reply -> done.accept(outcome(reply)));
        return sent::cancel;
    }

    /**
     * Asks a tool service for the outcome of a call whose answer was lost.
     *
     * @param address the service's host
     * @param path the path that tells the outcome of this call
     * @param done given the answer; empty when the service does not know the call or did not answer
     */
    public void toolOutcome(BackendAddress address, String path, Consumer<Optional<Outcome>> done) {
        connections.fetch(
                address, path, reply -> done.accept(reply.isOk() ? Optional.of(outcome(reply)) : Optional.empty()));
    }

    /**
     * Asks an engine for its load.
     *
     * @param engine the engine
     * @param done given the report; empty when it did not answer
     */
    public void load(BackendAddress engine, Consumer<Optional<LoadReport>> done) {
        get(engine, "/load", json -> done.accept(read(json, Backends::load)));
    }

    /**
     * Asks an engine for the changes of its prefix cache.
     *
     * @param engine the engine
     * @param afterNumber the last event known; 0 for none
     * @param done given the events, possibly with gaps; empty when it did not answer
     */
    public void cacheEvents(BackendAddress engine, long afterNumber, Consumer<Optional<List<CacheEvent>>> done) {
        get(engine, "/cache/events?after=" + afterNumber, json -> done.accept(read(json, Backends::events)));
    }

    /**
     * Asks an engine which programs hold memory.
     *
     * @param engine the engine
     * @param done given the programs' names; empty when it did not answer
     */
    public void heldPrograms(BackendAddress engine, Consumer<Optional<Set<String>>> done) {
        get(engine, "/cache/held", json -> done.accept(read(json, Backends::held)));
    }

    /**
     * Orders an engine to release the memory that it holds for a program; may be repeated.
     *
     * @param engine the engine
     * @param program the program
     * @param done given true when the engine confirms
     */
    public void release(BackendAddress engine, String program, Consumer<Boolean> done) {
        JsonObject body = new JsonObject().put("program", program);
        post(
                engine,
                "/cache/release",
                body,
                json -> done.accept(json.map(reply -> program.equals(reply.getValue("program"))
                                && Boolean.TRUE.equals(reply.getValue("released")))
                        .orElse(false)));
    }

    /**
     * Orders an engine to serve models in a role; absolute and repeatable.
     *
     * @param engine the engine
     * @param order the order with its fencing number, in the engine's form
     * @param done given the engine's state or its refusal; empty when it did not answer
     */
    public void order(BackendAddress engine, JsonObject order, Consumer<Optional<JsonObject>> done) {
        post(engine, "/orders", order, done);
    }

    /**
     * Asks an engine what it serves.
     *
     * @param engine the engine
     * @param done given its state; empty when it did not answer
     */
    public void state(BackendAddress engine, Consumer<Optional<JsonObject>> done) {
        get(engine, "/state", done);
    }

    /**
     * Closes all connections; calls under way fail.
     *
     * @return done once they are closed
     */
    public Future<Void> close() {
        return connections.close();
    }

    private void get(BackendAddress address, String path, Consumer<Optional<JsonObject>> done) {
        connections.ask(
                address, HttpMethod.GET, path, new JsonObject(), json -> done.accept(Optional.ofNullable(json)));
    }

    private void post(BackendAddress address, String path, JsonObject body, Consumer<Optional<JsonObject>> done) {
        connections.ask(address, HttpMethod.POST, path, body, json -> done.accept(Optional.ofNullable(json)));
    }

    private static Outcome outcome(Reply reply) {
        RunState state = reply.sent() ? RunState.UNKNOWN : RunState.NOT_RUN;
        return switch (reply.end()) {
            case ANSWERED ->
                Outcome.answered(
                        reply.status(),
                        reply.contentType(),
                        ByteString.copyFrom(reply.body().getBytes()),
                        0);
            case FAILED ->
                reply.sent()
                        ? Outcome.failed(
                                ErrorCode.BACKEND_LOST, state, 0, "the connection broke before the answer was whole")
                        : Outcome.failed(ErrorCode.NO_BACKEND, state, 0, "the service cannot be reached");
            case TIMED_OUT ->
                Outcome.failed(ErrorCode.DEADLINE_EXCEEDED, state, 0, "the service did not answer in time");
            case CANCELLED -> Outcome.failed(ErrorCode.CANCELLED, state, 0, "the call was cancelled");
        };
    }

    /** Reads an answer; one that an engine garbled counts as none. */
    private static <T> Optional<T> read(Optional<JsonObject> json, Function<JsonObject, T> reader) {
        try {
            return json.map(reader);
        } catch (ClassCastException | IllegalArgumentException | NullPointerException e) {
            log.warn("backend: unreadable report: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private static Set<String> held(JsonObject json) {
        return Set.copyOf(json.getJsonObject("programs", new JsonObject()).fieldNames());
    }

    private static LoadReport load(JsonObject json) {
        return new LoadReport(
                json.getInteger("running", 0),
                json.getInteger("waiting", 0),
                json.getInteger("waiting_tokens", 0),
                json.getInteger("max_batch", 0),
                json.getInteger("cache_used_blocks", 0),
                json.getInteger("cache_blocks", 0));
    }

    private static List<CacheEvent> events(JsonObject json) {
        return json.getJsonArray("events", new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .map(event -> new CacheEvent(
                        event.getLong("seq"),
                        "stored".equals(event.getString("kind")),
                        Long.parseLong(event.getString("hash"))))
                .toList();
    }
}
