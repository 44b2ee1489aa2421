package org.celerygw.cli.bench;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.concurrent.TimeUnit;

/** One caller: sends calls one after the other, each through the daemon and, when compared, also directly. */
final class Worker {
    private static final int CALLS_A_PROGRAM = 20;
    private static final long BUDGET_TOKENS = 100_000_000;

    private final BenchOptions options;
    private final Vertx vertx;
    private final HttpClient http;
    private final String name;
    private final Side gateway = new Side();
    private final Side direct = new Side();
    private final long endNs;
    private final Promise<Void> done = Promise.promise();
    private String program = "";
    private int sent;
    private long countedFromNs;

    Worker(Vertx vertx, BenchOptions options, HttpClient http, String name, long endNs) {
        this.options = options;
        this.vertx = vertx;
        this.http = http;
        this.name = name;
        this.endNs = endNs;
    }

    Side gateway() {
        return gateway;
    }

    Side direct() {
        return direct;
    }

    /** Returns when the first counted call began. */
    long countedFromNs() {
        return countedFromNs;
    }

    /** Sends all calls; the future never fails. */
    Future<Void> run() {
        next();
        return done.future();
    }

    /** Begins the next turn from a callback: chained futures would nest as deep as there are calls. */
    private void next() {
        if (sent >= options.warmupCalls() + options.calls() || System.nanoTime() >= endNs) {
            done.tryComplete();
            return;
        }
        Future<Void> ready = sent % CALLS_A_PROGRAM == 0 ? create() : Future.succeededFuture();
        ready.compose(v -> pause()).compose(v -> turn()).onComplete(v -> next());
    }

    private Future<Void> pause() {
        boolean counts = sent >= options.warmupCalls();
        return counts && options.pauseMs() > 0
                ? vertx.timer(options.pauseMs(), TimeUnit.MILLISECONDS).mapEmpty()
                : Future.succeededFuture();
    }

    private Future<Void> turn() {
        int number = sent++;
        boolean counts = number >= options.warmupCalls();
        if (counts && countedFromNs == 0) {
            countedFromNs = System.nanoTime();
        }
        // Taking turns at going first spares both sides the same share of the other's after-effects.
        boolean directFirst = number % 2 == 0;
        Future<Void> first = directFirst ? sendDirect(number, counts) : sendGateway(number, counts);
        return first.compose(v -> directFirst ? sendGateway(number, counts) : sendDirect(number, counts));
    }

    private Future<Void> sendDirect(int number, boolean counts) {
        if (!options.compare()) {
            return Future.succeededFuture();
        }
        String path = options.tool() ? "/" + options.target() + "/bench" : "/v1/chat/completions";
        RequestOptions request = to(options.direct(), path)
                .putHeader("X-Request-Id", name + "-direct-" + number)
                .putHeader("Idempotency-Key", name + "-direct-" + number);
        return Probe.send(http, request, body(number, "direct"), !options.tool())
                .map(timing -> count(direct, timing, counts));
    }

    private Future<Void> sendGateway(int number, boolean counts) {
        String path = options.tool() ? "/v1/tools/" + options.target() + "/bench" : "/v1/chat/completions";
        RequestOptions request = authorized(to(options.gateway(), path))
                .putHeader("Celery-Program", program)
                .putHeader("Celery-Call", Integer.toString(number % CALLS_A_PROGRAM + 1))
                .putHeader("Idempotency-Key", name + "-" + number)
                .putHeader("Celery-Repeatable", Boolean.toString(options.repeatable()));
        return Probe.send(http, request, body(number, "daemon"), !options.tool())
                .map(timing -> count(gateway, timing, counts));
    }

    private static Void count(Side side, Timing timing, boolean counts) {
        if (counts || !timing.ok()) {
            side.add(timing);
        }
        return null;
    }

    /** A failure shows in the calls that follow. */
    private Future<Void> create() {
        program = name + "-p" + sent / CALLS_A_PROGRAM;
        JsonObject body = new JsonObject().put("program", program).put("budget_tokens", BUDGET_TOKENS);
        return http.request(authorized(to(options.gateway(), "/v1/programs")))
                .compose(request -> request.send(body.toBuffer()))
                .compose(response -> response.body())
                .transform(result -> Future.succeededFuture());
    }

    private Buffer body(int number, String side) {
        if (options.tool()) {
            return new JsonObject().put("number", number).put("side", side).toBuffer();
        }
        // Both prompts have the same length and neither begins like an earlier one.
        String begin = name + " " + number + " " + side + " ";
        String content = begin + "x".repeat(Math.max(0, options.promptChars() - begin.length()));
        JsonObject message = new JsonObject().put("role", "user").put("content", content);
        return new JsonObject()
                .put("model", options.target())
                .put("stream", true)
                .put("max_tokens", options.outputTokens())
                .put("messages", new JsonArray().add(message))
                .toBuffer();
    }

    private RequestOptions authorized(RequestOptions request) {
        return request.putHeader("Authorization", "Bearer " + options.callerKey());
    }

    private static RequestOptions to(URI uri, String path) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(uri.getHost())
                .setPort(uri.getPort())
                .setURI(path)
                .putHeader("content-type", "application/json");
    }
}
