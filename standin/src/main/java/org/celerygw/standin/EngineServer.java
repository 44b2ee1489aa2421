package org.celerygw.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.celerygw.core.helper.Check;

/**
 * A stand-in for a model engine that serves the HTTP interface of docs/ENGINE-WIRE.md: continuous batching in real time,
 * a prefix cache, priorities, cancellation and resumption, delayed load and cache reports, and orders. The answer depends
 * only on the model and the prompt.
 *
 * <p>Injects these faults into completion requests: DOWN, SLOW, REFUSED, FAILED, GARBAGE, HALF (the connection closes
 * after half of the answer and the request cannot be resumed), HANG (the request is neither run nor answered) and
 * LOST_ANSWER (the request runs but its connection closes; it can be resumed).
 */
public final class EngineServer {
    private static final int REQUEST_ID_START = "/v1/requests/".length();
    private static final int RETRY_AFTER_MS = 200;
    private static final long REPORT_INTERVAL_MS = 50;

    private final EngineOptions options;
    private final Faults faults = new Faults();
    private final CacheEventLog events;
    private final PrefixCache cache;
    private final BatchScheduler scheduler;
    private final EngineOrders orders;
    private final Deque<LoadReport> loadReports = new ArrayDeque<>();
    private StandinHttpServer http;
    private boolean stepping;
    private volatile boolean closed;
    private volatile long startedCompletions;

    private EngineServer(EngineOptions options) {
        this.options = options;
        this.events = new CacheEventLog(options.eventLagMs(), options.lostEventInterval());
        this.cache = new PrefixCache(options.cacheBlocks(), events);
        this.scheduler = new BatchScheduler(options, cache);
        this.orders = new EngineOrders(options);
    }

    /**
     * Starts an engine on loopback.
     *
     * @param vertx the Vert.x instance that runs the engine
     * @param options the engine's settings
     * @return a future that completes with the engine once it listens
     */
    public static Future<EngineServer> start(Vertx vertx, EngineOptions options) {
        EngineServer engine = new EngineServer(options);
        return StandinHttpServer.start(vertx, options.port(), engine.faults, engine::handle)
                .map(http -> {
                    engine.http = http;
                    http.execute(engine::recordLoadReport);
                    return engine;
                });
    }

    /**
     * Returns the port that the engine listens on.
     *
     * @return the actual port, also if any free port was requested
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the faults that the engine injects, to be changed by the caller.
     *
     * @return the engine's faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns how many completion requests the engine has started.
     *
     * @return the number of requests; resumed ones are not counted again
     */
    public long completionCount() {
        return startedCompletions;
    }

    /**
     * Returns the complete answer that the engine generates for a request.
     *
     * @param requestBody the body of a chat-completions request
     * @return the answer's content, truncated at the request's maximum output tokens
     */
    public String expectedAnswer(JsonObject requestBody) {
        ModelRequest request = ModelRequest.parse(requestBody);
        Check.that(request != null, "the request body has no messages");
        return new Sequence("expected", "", 0, 0, request, options.answerTokens()).fullAnswer();
    }

    /** Stops all responses on the connections that are open now; new connections work. */
    public void silenceConnections() {
        http.silenceOpenConnections();
    }

    /**
     * Stops the engine.
     *
     * @return a future that completes once the port is free
     */
    public Future<Void> close() {
        closed = true;
        return http.close();
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        switch (path) {
            case "/v1/chat/completions" -> http.executeAfter(faults.nextDelayMs(), () -> handleCompletion(exchange));
            case "/load" -> exchange.replyJson(200, delayedLoadReport());
            case "/cache/events" -> exchange.replyJson(200, events.eventsAfter(numberParam(exchange, "after")));
            case "/cache/held" -> exchange.replyJson(200, heldBlocksJson());
            case "/cache/release" -> handleRelease(exchange);
            case "/cache/export" -> exchange.replyJson(200, hashesJson(cache.cachedOf(hashes(exchange))));
            case "/cache/import" -> importBlocks(exchange);
            case "/orders" -> handleOrder(exchange);
            case "/state" -> exchange.replyJson(200, orders.state());
            default -> routeByPrefix(exchange, path);
        }
    }

    private void routeByPrefix(Exchange exchange, String path) {
        if (!path.startsWith("/v1/requests/")) {
            exchange.replyError(404, "not_found");
            return;
        }
        String id = path.substring(REQUEST_ID_START);
        if (exchange.hasMethod(HttpMethod.DELETE)) {
            boolean cancelled = scheduler.cancel(id, System.currentTimeMillis());
            exchange.replyJson(200, new JsonObject().put("cancelled", cancelled));
            return;
        }
        resume(exchange, id);
    }

    private void handleCompletion(Exchange exchange) {
        if (faults.consume(Fault.DOWN)) {
            exchange.closeConnection();
        } else if (faults.consume(Fault.REFUSED) || scheduler.isFull()) {
            exchange.response().putHeader("Retry-After-Ms", Integer.toString(RETRY_AFTER_MS));
            exchange.replyError(503, "overloaded");
        } else if (faults.consume(Fault.FAILED)) {
            exchange.replyError(500, "engine_failed");
        } else if (faults.consume(Fault.GARBAGE)) {
            exchange.reply(200, "application/json", Buffer.buffer("\u0001{{ not json"));
        } else if (!faults.consume(Fault.HANG)) {
            startOrAttach(exchange);
        }
    }

    private void startOrAttach(Exchange exchange) {
        ModelRequest request = ModelRequest.parse(exchange.bodyJson());
        if (request == null) {
            exchange.replyError(400, "invalid_request");
            return;
        }
        if (!orders.serves(request.model())) {
            exchange.replyError(404, "model_not_found");
            return;
        }
        long arrivalNumber = scheduler.nextArrivalNumber();
        String id = exchange.header("X-Request-Id", "anonymous-" + arrivalNumber);
        Sequence existing = scheduler.findById(id);
        if (existing != null) {
            existing.attach(exchange, 0, System.currentTimeMillis());
            return;
        }
        int priority = Integer.parseInt(exchange.header("X-Priority", Integer.toString(request.priority())));
        String program = exchange.header("X-Program", "");
        startSequence(new Sequence(id, program, priority, arrivalNumber, request, options.answerTokens()), exchange);
    }

    private void startSequence(Sequence sequence, Exchange exchange) {
        startedCompletions++;
        sequence.attach(exchange, 0, System.currentTimeMillis());
        if (faults.consume(Fault.HALF)) {
            sequence.breakAfterHalf();
        }
        if (faults.consume(Fault.LOST_ANSWER)) {
            sequence.detach();
        }
        scheduler.submit(sequence);
        if (!stepping) {
            stepping = true;
            http.executeAfter(options.stepMs(), this::step);
        }
    }

    private void step() {
        scheduler.step(System.currentTimeMillis());
        stepping = !scheduler.isIdle() && !closed;
        if (stepping) {
            http.executeAfter(options.stepMs(), this::step);
        }
    }

    /** Resumes a request; without streaming, responds 202 if the answer is not complete within the client's wait time. */
    private void resume(Exchange exchange, String id) {
        Sequence sequence = scheduler.findById(id);
        if (sequence == null) {
            exchange.replyError(404, "unknown_request");
            return;
        }
        sequence.attach(exchange, (int) numberParam(exchange, "after"), System.currentTimeMillis());
        if (!sequence.isStream()) {
            http.executeAfter(
                    numberParam(exchange, "wait_ms"),
                    () -> exchange.replyJson(202, new JsonObject().put("running", true)));
        }
    }

    private JsonObject heldBlocksJson() {
        JsonObject programs = new JsonObject();
        cache.heldBlockCounts().forEach(programs::put);
        return new JsonObject().put("programs", programs);
    }

    private void handleRelease(Exchange exchange) {
        String program = exchange.bodyJson().getString("program", "");
        int blocks = cache.release(program);
        exchange.replyJson(
                200,
                new JsonObject().put("program", program).put("released", true).put("blocks", blocks));
    }

    private void importBlocks(Exchange exchange) {
        List<Long> hashes = hashes(exchange);
        cache.store(hashes, "");
        exchange.replyJson(200, hashesJson(cache.cachedOf(hashes)));
    }

    private void handleOrder(Exchange exchange) {
        JsonObject order = exchange.bodyJson();
        if (!orders.acceptFence(order)) {
            exchange.replyJson(
                    409,
                    new JsonObject()
                            .put("error", new JsonObject().put("code", "stale_fence"))
                            .put("fence", orders.highestFence()));
            return;
        }
        http.executeAfter(orders.begin(order), () -> orders.finish(order));
        exchange.replyJson(202, orders.state());
    }

    /** Records the load, which is reported after the lag, and sends heartbeats on idle streams. */
    private void recordLoadReport() {
        if (closed) {
            return;
        }
        long nowMs = System.currentTimeMillis();
        loadReports.addLast(new LoadReport(nowMs, scheduler.loadReport()));
        while (loadReports.size() > 1
                && nowMs - loadReports.peekFirst().atMs > options.loadLagMs() + REPORT_INTERVAL_MS) {
            loadReports.removeFirst();
        }
        scheduler.sendHeartbeats(nowMs);
        http.executeAfter(REPORT_INTERVAL_MS, this::recordLoadReport);
    }

    private JsonObject delayedLoadReport() {
        if (options.loadLagMs() == 0) {
            return scheduler.loadReport();
        }
        return loadReports.getFirst().load;
    }

    private static List<Long> hashes(Exchange exchange) {
        return exchange.bodyJson().getJsonArray("hashes", new JsonArray()).stream()
                .map(hash -> Long.parseLong(hash.toString()))
                .toList();
    }

    private static JsonObject hashesJson(List<Long> hashes) {
        JsonArray array = new JsonArray();
        hashes.forEach(hash -> array.add(Long.toString(hash)));
        return new JsonObject().put("hashes", array);
    }

    private static long numberParam(Exchange exchange, String name) {
        return Long.parseLong(exchange.param(name, "0"));
    }

    /** The load at a point in time. */
    private record LoadReport(long atMs, JsonObject load) {}
}
