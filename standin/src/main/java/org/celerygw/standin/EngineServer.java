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
 * A model engine over HTTP, in the form of docs/ENGINE-WIRE.md: continuous batching in real time, a prefix cache,
 * priorities, cancel and resume, load and cache reports with a lag, and orders. The answer follows from the prompt
 * alone. Heeds the faults DOWN, SLOW, REFUSED, FAILED, GARBAGE, HALF (the request is forgotten halfway), HANG (the
 * request is neither run nor answered) and LOST_ANSWER (it runs, its connection closes; it can be resumed), each for
 * completion requests.
 */
public final class EngineServer {
    private static final int REQUEST_ID_START = "/v1/requests/".length();
    private static final int RETRY_AFTER_MS = 200;
    private static final long REPORT_EVERY_MS = 50;

    private final EngineOptions options;
    private final Faults faults = new Faults();
    private final CacheEvents events;
    private final PrefixCache cache;
    private final Batch batch;
    private final EngineOrders orders;
    private final Deque<Report> reports = new ArrayDeque<>();
    private HttpFront front;
    private boolean stepping;
    private volatile boolean closed;
    private volatile long completions;

    private EngineServer(EngineOptions options) {
        this.options = options;
        this.events = new CacheEvents(options.eventLagMs(), options.eventGapEvery());
        this.cache = new PrefixCache(options.cacheBlocks(), events);
        this.batch = new Batch(options, cache);
        this.orders = new EngineOrders(options);
    }

    /**
     * Starts an engine on loopback.
     *
     * @param vertx runs it
     * @param options its settings
     * @return the engine, once it listens
     */
    public static Future<EngineServer> start(Vertx vertx, EngineOptions options) {
        EngineServer engine = new EngineServer(options);
        return HttpFront.start(vertx, options.port(), engine.faults, engine::handle)
                .map(front -> {
                    engine.front = front;
                    front.execute(engine::report);
                    return engine;
                });
    }

    /**
     * Returns the port it listens on.
     *
     * @return the port
     */
    public int port() {
        return front.port();
    }

    /**
     * Returns the faults that it injects.
     *
     * @return its faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns how many completion requests it has begun to run.
     *
     * @return the number of requests; a resume does not count
     */
    public long completionCount() {
        return completions;
    }

    /**
     * Returns the text that it answers to a request.
     *
     * @param requestBody a chat-completions request
     * @return the answer's content, cut at the request's largest output
     */
    public String expectedAnswer(JsonObject requestBody) {
        ModelRequest request = ModelRequest.parse(requestBody);
        Check.that(request != null, "the body holds no messages");
        return new Sequence("expected", "", 0, 0, request, options.answerTokens()).answer();
    }

    /** Makes every connection that is open now silent for good; new ones work. */
    public void silenceConnections() {
        front.silenceOpenConnections();
    }

    /**
     * Stops it.
     *
     * @return done once its port is free
     */
    public Future<Void> close() {
        closed = true;
        return front.close();
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        switch (path) {
            case "/v1/chat/completions" -> front.later(faults.takeDelayMs(), () -> complete(exchange));
            case "/load" -> exchange.json(200, lateReport());
            case "/cache/events" -> exchange.json(200, events.after(number(exchange, "after")));
            case "/cache/held" -> exchange.json(200, held());
            case "/cache/release" -> release(exchange);
            case "/cache/export" -> exchange.json(200, blocks(cache.present(hashes(exchange))));
            case "/cache/import" -> importBlocks(exchange);
            case "/orders" -> order(exchange);
            case "/state" -> exchange.json(200, orders.state());
            default -> routeByPrefix(exchange, path);
        }
    }

    private void routeByPrefix(Exchange exchange, String path) {
        if (!path.startsWith("/v1/requests/")) {
            exchange.error(404, "not_found");
            return;
        }
        String id = path.substring(REQUEST_ID_START);
        if (exchange.is(HttpMethod.DELETE)) {
            boolean cancelled = batch.cancel(id, System.currentTimeMillis());
            exchange.json(200, new JsonObject().put("cancelled", cancelled));
            return;
        }
        resume(exchange, id);
    }

    private void complete(Exchange exchange) {
        if (faults.take(Fault.DOWN)) {
            exchange.drop();
        } else if (faults.take(Fault.REFUSED) || batch.isFull()) {
            exchange.response().putHeader("Retry-After-Ms", Integer.toString(RETRY_AFTER_MS));
            exchange.error(503, "overloaded");
        } else if (faults.take(Fault.FAILED)) {
            exchange.error(500, "engine_failed");
        } else if (faults.take(Fault.GARBAGE)) {
            exchange.reply(200, "application/json", Buffer.buffer("\u0001{{ not json"));
        } else if (!faults.take(Fault.HANG)) {
            run(exchange);
        }
    }

    private void run(Exchange exchange) {
        ModelRequest request = ModelRequest.parse(exchange.bodyJson());
        if (request == null) {
            exchange.error(400, "invalid_request");
            return;
        }
        if (!orders.serves(request.model())) {
            exchange.error(404, "model_not_found");
            return;
        }
        long arrival = batch.nextArrival();
        String id = exchange.header("X-Request-Id", "anonymous-" + arrival);
        Sequence known = batch.find(id);
        if (known != null) {
            known.attach(exchange, 0, System.currentTimeMillis());
            return;
        }
        int priority = Integer.parseInt(exchange.header("X-Priority", Integer.toString(request.priority())));
        String program = exchange.header("X-Program", "");
        begin(new Sequence(id, program, priority, arrival, request, options.answerTokens()), exchange);
    }

    private void begin(Sequence sequence, Exchange exchange) {
        completions++;
        sequence.attach(exchange, 0, System.currentTimeMillis());
        if (faults.take(Fault.HALF)) {
            sequence.breakInTheMiddle();
        }
        if (faults.take(Fault.LOST_ANSWER)) {
            sequence.detach();
        }
        batch.submit(sequence);
        if (!stepping) {
            stepping = true;
            front.later(options.stepMs(), this::step);
        }
    }

    private void step() {
        batch.step(System.currentTimeMillis());
        stepping = !batch.isIdle() && !closed;
        if (stepping) {
            front.later(options.stepMs(), this::step);
        }
    }

    /** A whole answer that is not ready yet yields 202 after the time that the client is ready to wait. */
    private void resume(Exchange exchange, String id) {
        Sequence sequence = batch.find(id);
        if (sequence == null) {
            exchange.error(404, "unknown_request");
            return;
        }
        sequence.attach(exchange, (int) number(exchange, "after"), System.currentTimeMillis());
        if (!sequence.isStream()) {
            front.later(number(exchange, "wait_ms"), () -> exchange.json(202, new JsonObject().put("running", true)));
        }
    }

    private JsonObject held() {
        JsonObject programs = new JsonObject();
        cache.held().forEach(programs::put);
        return new JsonObject().put("programs", programs);
    }

    private void release(Exchange exchange) {
        String program = exchange.bodyJson().getString("program", "");
        int blocks = cache.release(program);
        exchange.json(
                200,
                new JsonObject().put("program", program).put("released", true).put("blocks", blocks));
    }

    private void importBlocks(Exchange exchange) {
        List<Long> hashes = hashes(exchange);
        cache.store(hashes, "");
        exchange.json(200, blocks(cache.present(hashes)));
    }

    private void order(Exchange exchange) {
        JsonObject order = exchange.bodyJson();
        if (!orders.accepts(order)) {
            exchange.json(
                    409,
                    new JsonObject()
                            .put("error", new JsonObject().put("code", "stale_fence"))
                            .put("fence", orders.fence()));
            return;
        }
        front.later(orders.begin(order), () -> orders.finish(order));
        exchange.json(202, orders.state());
    }

    /** Records the load so that it can be shown late, and keeps quiet streams alive. */
    private void report() {
        if (closed) {
            return;
        }
        long nowMs = System.currentTimeMillis();
        reports.addLast(new Report(nowMs, batch.load()));
        while (reports.size() > 1 && nowMs - reports.peekFirst().atMs > options.loadLagMs() + REPORT_EVERY_MS) {
            reports.removeFirst();
        }
        batch.heartbeat(nowMs);
        front.later(REPORT_EVERY_MS, this::report);
    }

    private JsonObject lateReport() {
        if (options.loadLagMs() == 0) {
            return batch.load();
        }
        return reports.getFirst().load;
    }

    private static List<Long> hashes(Exchange exchange) {
        return exchange.bodyJson().getJsonArray("hashes", new JsonArray()).stream()
                .map(hash -> Long.parseLong(hash.toString()))
                .toList();
    }

    private static JsonObject blocks(List<Long> hashes) {
        JsonArray array = new JsonArray();
        hashes.forEach(hash -> array.add(Long.toString(hash)));
        return new JsonObject().put("hashes", array);
    }

    private static long number(Exchange exchange, String name) {
        return Long.parseLong(exchange.param(name, "0"));
    }

    /** The load at an instant. */
    private record Report(long atMs, JsonObject load) {}
}
