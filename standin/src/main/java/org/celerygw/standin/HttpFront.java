package org.celerygw.standin;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The HTTP server under each stand-in, on an event loop of its own. Besides the stand-in's own paths it answers
 * {@code GET /health} and {@code POST /faults}, and it can turn open connections silent.
 */
final class HttpFront extends VerticleBase {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private final int wantedPort;
    private final Faults faults;
    private final Consumer<Exchange> handler;
    private final Set<HttpConnection> open = ConcurrentHashMap.newKeySet();
    private final Set<HttpConnection> silent = ConcurrentHashMap.newKeySet();
    private volatile int port;
    private volatile boolean fresh = true;

    private HttpFront(int wantedPort, Faults faults, Consumer<Exchange> handler) {
        this.wantedPort = wantedPort;
        this.faults = faults;
        this.handler = handler;
    }

    /** Starts a server on loopback; port 0 takes any free port. */
    static Future<HttpFront> start(Vertx vertx, int port, Faults faults, Consumer<Exchange> handler) {
        HttpFront front = new HttpFront(port, faults, handler);
        return vertx.deployVerticle(front).map(id -> front);
    }

    @Override
    public Future<?> start() {
        HttpServerOptions options = new HttpServerOptions().setTcpNoDelay(true).setMaxHeaderSize(MAX_HEADER_BYTES);
        HttpServer server =
                vertx.createHttpServer(options).connectionHandler(this::track).requestHandler(this::receive);
        return server.listen(wantedPort, LOOPBACK).onSuccess(s -> port = s.actualPort());
    }

    /** Stops the server; its connections close. */
    Future<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    int port() {
        return port;
    }

    /** Runs a task on this server's event loop, never on the calling stack. */
    void execute(Runnable task) {
        context.runOnContext(v -> task.run());
    }

    /** Runs a task on this server's event loop after a wait. */
    void later(long delayMs, Runnable task) {
        if (delayMs <= 0) {
            execute(task);
            return;
        }
        vertx.setTimer(delayMs, id -> execute(task));
    }

    /** Makes every connection that is open now silent for good; new ones work. */
    void silenceOpenConnections() {
        silent.addAll(open);
    }

    /** Closes every open connection. */
    void dropConnections() {
        open.forEach(HttpConnection::close);
    }

    /** Makes every connection, also a new one, silent, or ends that. */
    void silenceNewConnections(boolean silence) {
        fresh = !silence;
    }

    boolean isSilent(HttpConnection connection) {
        return silent.contains(connection);
    }

    private void track(HttpConnection connection) {
        open.add(connection);
        if (!fresh) {
            silent.add(connection);
        }
        connection.closeHandler(v -> {
            open.remove(connection);
            silent.remove(connection);
        });
    }

    private void receive(HttpServerRequest request) {
        if (isSilent(request.connection())) {
            return;
        }
        request.body().onSuccess(body -> {
            Exchange exchange = new Exchange(this, request, body);
            switch (request.path()) {
                case "/health" -> exchange.json(200, new JsonObject().put("ok", true));
                case "/faults" -> setFault(exchange);
                default -> handler.accept(exchange);
            }
        });
    }

    /** Body: {"fault": NAME, "count": N} with count -1 for always; or slow_ms, clear, silence. */
    private void setFault(Exchange exchange) {
        if (!exchange.is(HttpMethod.POST)) {
            exchange.error(405, "method_not_allowed");
            return;
        }
        JsonObject body = exchange.bodyJson();
        if (body.getBoolean("clear", false)) {
            faults.clear();
        }
        if (body.containsKey("slow_ms")) {
            faults.slowMs(body.getLong("slow_ms"));
        }
        if (body.containsKey("fault")) {
            setFault(Fault.valueOf(body.getString("fault").toUpperCase(Locale.ROOT)), body.getInteger("count", -1));
        }
        exchange.json(200, new JsonObject().put("ok", true));
        if (body.getBoolean("silence", false)) {
            open.stream().filter(c -> c != exchange.connection()).forEach(silent::add);
        }
    }

    private void setFault(Fault fault, int count) {
        if (count < 0) {
            faults.always(fault);
            return;
        }
        faults.next(fault, count);
    }
}
