package org.celerygw.standin;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Plain services over HTTP: {@code POST /SERVICE/PATH} runs a call, {@code GET /outcomes/KEY} tells the answer of the
 * call that ran with an idempotency key, {@code GET /executions} lists what ran. Nothing is deduplicated, so that a
 * check can count executions. Heeds the faults DOWN, SLOW, REFUSED (503 without effect), FAILED (500 after the
 * effect), LOST_ANSWER, HANG, GARBAGE and HALF, each for calls.
 */
public final class ToolServer {
    private static final String JSON = "application/json";
    private static final int OUTCOME_KEY_START = "/outcomes/".length();
    private static final int DECLARED_EXTRA_BYTES = 100;

    private final Faults faults = new Faults();
    private final List<Execution> executions = new CopyOnWriteArrayList<>();
    private HttpFront front;

    private ToolServer() {}

    /**
     * Starts the services on loopback.
     *
     * @param vertx runs them
     * @param port the port; 0 for any
     * @return the services, once they listen
     */
    public static Future<ToolServer> start(Vertx vertx, int port) {
        ToolServer tools = new ToolServer();
        return HttpFront.start(vertx, port, tools.faults, tools::handle).map(front -> {
            tools.front = front;
            return tools;
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
     * Returns all that ran so far, in order.
     *
     * @return the executions
     */
    public List<Execution> executions() {
        return List.copyOf(executions);
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
        return front.close();
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        if ("/executions".equals(path)) {
            JsonArray all = new JsonArray();
            executions.forEach(execution -> all.add(execution.toJson()));
            exchange.json(200, new JsonObject().put("executions", all));
        } else if (path.startsWith("/outcomes/")) {
            outcome(exchange, URLDecoder.decode(path.substring(OUTCOME_KEY_START), StandardCharsets.UTF_8));
        } else if (exchange.is(HttpMethod.POST) && path.indexOf('/', 1) > 0) {
            front.later(faults.takeDelayMs(), () -> run(exchange));
        } else {
            exchange.error(404, "not_found");
        }
    }

    private void outcome(Exchange exchange, String key) {
        executions.stream()
                .filter(execution -> execution.idempotencyKey().equals(key))
                .findFirst()
                .ifPresentOrElse(
                        execution -> exchange.reply(200, JSON, Buffer.buffer(execution.answer())),
                        () -> exchange.error(404, "unknown_key"));
    }

    private void run(Exchange exchange) {
        if (faults.take(Fault.DOWN)) {
            exchange.drop();
            return;
        }
        if (faults.take(Fault.REFUSED)) {
            exchange.error(503, "unavailable");
            return;
        }
        answer(exchange, execute(exchange));
    }

    private void answer(Exchange exchange, Execution execution) {
        if (faults.take(Fault.LOST_ANSWER)) {
            exchange.drop();
        } else if (faults.take(Fault.FAILED)) {
            exchange.error(500, "service_failed");
        } else if (faults.take(Fault.GARBAGE)) {
            exchange.reply(200, JSON, Buffer.buffer("\u0001{{ not json"));
        } else if (faults.take(Fault.HALF)) {
            half(exchange, execution.answer());
        } else if (!faults.take(Fault.HANG)) {
            exchange.reply(200, JSON, Buffer.buffer(execution.answer()));
        }
    }

    private Execution execute(Exchange exchange) {
        String path = exchange.path();
        int end = path.indexOf('/', 1);
        String service = path.substring(1, end);
        String rest = path.substring(end + 1);
        String body = exchange.body().toString(StandardCharsets.UTF_8);
        long number = executions.size() + 1L;
        String answer = new JsonObject()
                .put("service", service)
                .put("path", rest)
                .put("execution", number)
                .put("body_sha256", sha256(body))
                .encode();
        Execution execution =
                new Execution(number, service, rest, exchange.header("Idempotency-Key", ""), body, answer);
        executions.add(execution);
        return execution;
    }

    /** Declares more than it sends, then closes. */
    private static void half(Exchange exchange, String answer) {
        int declaredBytes = answer.length() + DECLARED_EXTRA_BYTES;
        exchange.response()
                .putHeader("content-type", JSON)
                .putHeader("content-length", Integer.toString(declaredBytes))
                .write(Buffer.buffer(answer))
                .onComplete(written -> exchange.drop());
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
