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
 * A stand-in for tool services over HTTP: {@code POST /SERVICE/PATH} executes a call, {@code GET /outcomes/KEY} returns
 * the response to the call with an idempotency key, {@code GET /executions} lists the executions. Calls are not
 * deduplicated, so that a check can count executions.
 *
 * <p>Injects these faults into calls: DOWN, SLOW, REFUSED (503 without effect), FAILED (500 after the effect),
 * LOST_ANSWER, HANG (no response after the effect), GARBAGE and HALF.
 */
public final class ToolServer {
    private static final String JSON = "application/json";
    private static final int OUTCOME_KEY_START = "/outcomes/".length();
    private static final int EXTRA_DECLARED_BYTES = 100;

    private final Faults faults = new Faults();
    private final List<Execution> executions = new CopyOnWriteArrayList<>();
    private StandinHttpServer http;

    private ToolServer() {}

    /**
     * Starts the services on loopback.
     *
     * @param vertx the Vert.x instance that runs the services
     * @param port the port to listen on; 0 for any free port
     * @return a future that completes with the server once it listens
     */
    public static Future<ToolServer> start(Vertx vertx, int port) {
        ToolServer tools = new ToolServer();
        return StandinHttpServer.start(vertx, port, tools.faults, tools::handle).map(http -> {
            tools.http = http;
            return tools;
        });
    }

    /**
     * Returns the port that the services listen on.
     *
     * @return the actual port, also if any free port was requested
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the faults that the services inject, to be changed by the caller.
     *
     * @return the services' faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns all executions so far.
     *
     * @return a copy of the executions in their order
     */
    public List<Execution> executions() {
        return List.copyOf(executions);
    }

    /** Stops all responses on the connections that are open now; new connections work. */
    public void silenceConnections() {
        http.silenceOpenConnections();
    }

    /**
     * Stops the services.
     *
     * @return a future that completes once the port is free
     */
    public Future<Void> close() {
        return http.close();
    }

    private void handle(Exchange exchange) {
        String path = exchange.path();
        if ("/executions".equals(path)) {
            JsonArray list = new JsonArray();
            executions.forEach(execution -> list.add(execution.toJson()));
            exchange.replyJson(200, new JsonObject().put("executions", list));
        } else if (path.startsWith("/outcomes/")) {
            replyOutcome(exchange, URLDecoder.decode(path.substring(OUTCOME_KEY_START), StandardCharsets.UTF_8));
        } else if (exchange.hasMethod(HttpMethod.POST) && path.indexOf('/', 1) > 0) {
            http.executeAfter(faults.nextDelayMs(), () -> handleCall(exchange));
        } else {
            exchange.replyError(404, "not_found");
        }
    }

    private void replyOutcome(Exchange exchange, String key) {
        executions.stream()
                .filter(execution -> execution.idempotencyKey().equals(key))
                .findFirst()
                .ifPresentOrElse(
                        execution -> exchange.reply(200, JSON, Buffer.buffer(execution.responseBody())),
                        () -> exchange.replyError(404, "unknown_key"));
    }

    private void handleCall(Exchange exchange) {
        if (faults.consume(Fault.DOWN)) {
            exchange.closeConnection();
            return;
        }
        if (faults.consume(Fault.REFUSED)) {
            exchange.replyError(503, "unavailable");
            return;
        }
        reply(exchange, execute(exchange));
    }

    private void reply(Exchange exchange, Execution execution) {
        if (faults.consume(Fault.LOST_ANSWER)) {
            exchange.closeConnection();
        } else if (faults.consume(Fault.FAILED)) {
            exchange.replyError(500, "service_failed");
        } else if (faults.consume(Fault.GARBAGE)) {
            exchange.reply(200, JSON, Buffer.buffer("\u0001{{ not json"));
        } else if (faults.consume(Fault.HALF)) {
            replyTruncated(exchange, execution.responseBody());
        } else if (!faults.consume(Fault.HANG)) {
            exchange.reply(200, JSON, Buffer.buffer(execution.responseBody()));
        }
    }

    private Execution execute(Exchange exchange) {
        String path = exchange.path();
        int serviceEnd = path.indexOf('/', 1);
        String service = path.substring(1, serviceEnd);
        String servicePath = path.substring(serviceEnd + 1);
        String body = exchange.body().toString(StandardCharsets.UTF_8);
        long number = executions.size() + 1L;
        String responseBody = new JsonObject()
                .put("service", service)
                .put("path", servicePath)
                .put("execution", number)
                .put("body_sha256", sha256(body))
                .encode();
        Execution execution =
                new Execution(number, service, servicePath, exchange.header("Idempotency-Key", ""), body, responseBody);
        executions.add(execution);
        return execution;
    }

    /** Sends fewer bytes than its Content-Length declares and closes the connection. */
    private static void replyTruncated(Exchange exchange, String body) {
        int declaredBytes = body.length() + EXTRA_DECLARED_BYTES;
        exchange.response()
                .putHeader("content-type", JSON)
                .putHeader("content-length", Integer.toString(declaredBytes))
                .write(Buffer.buffer(body))
                .onComplete(result -> exchange.closeConnection());
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }
}
