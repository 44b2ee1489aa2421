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
 * The HTTP server of a stand-in, with an event loop of its own. Besides the stand-in's paths it serves
 * {@code GET /health} and {@code POST /faults}. It can silence connections: they stay open but get no more responses.
 */
final class StandinHttpServer extends VerticleBase {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private final int requestedPort;
    private final Faults faults;
    private final Consumer<Exchange> handler;
    private final Set<HttpConnection> openConnections = ConcurrentHashMap.newKeySet();
    private final Set<HttpConnection> silentConnections = ConcurrentHashMap.newKeySet();
    private volatile int port;
    private volatile boolean answersNewConnections = true;

    private StandinHttpServer(int requestedPort, Faults faults, Consumer<Exchange> handler) {
        this.requestedPort = requestedPort;
        this.faults = faults;
        this.handler = handler;
    }

    /** Starts a server on loopback; port 0 means any free port. */
    static Future<StandinHttpServer> start(Vertx vertx, int port, Faults faults, Consumer<Exchange> handler) {
        StandinHttpServer server = new StandinHttpServer(port, faults, handler);
        return vertx.deployVerticle(server).map(id -> server);
    }

    @Override
    public Future<?> start() {
        HttpServerOptions options = new HttpServerOptions().setTcpNoDelay(true).setMaxHeaderSize(MAX_HEADER_BYTES);
        HttpServer server = vertx.createHttpServer(options)
                .connectionHandler(this::trackConnection)
                .requestHandler(this::handleRequest);
        return server.listen(requestedPort, LOOPBACK).onSuccess(listening -> port = listening.actualPort());
    }

    /** Stops the server and closes its connections. */
    Future<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    int port() {
        return port;
    }

    /** Runs a task asynchronously on this server's event loop. */
    void execute(Runnable task) {
        context.runOnContext(v -> task.run());
    }

    /** Runs a task asynchronously on this server's event loop after a delay. */
    void executeAfter(long delayMs, Runnable task) {
        if (delayMs <= 0) {
            execute(task);
            return;
        }
        vertx.setTimer(delayMs, id -> execute(task));
    }

    /** Stops all responses on the connections that are open now; new connections work. */
    void silenceOpenConnections() {
        silentConnections.addAll(openConnections);
    }

    /** Closes every open connection. */
    void closeConnections() {
        openConnections.forEach(HttpConnection::close);
    }

    /** Sets whether connections that open from now on get no responses. */
    void silenceNewConnections(boolean silence) {
        answersNewConnections = !silence;
    }

    boolean isSilent(HttpConnection connection) {
        return silentConnections.contains(connection);
    }

    private void trackConnection(HttpConnection connection) {
        openConnections.add(connection);
        if (!answersNewConnections) {
            silentConnections.add(connection);
        }
        connection.closeHandler(v -> {
            openConnections.remove(connection);
            silentConnections.remove(connection);
        });
    }

    private void handleRequest(HttpServerRequest request) {
        if (isSilent(request.connection())) {
            return;
        }
        request.body().onSuccess(body -> {
            Exchange exchange = new Exchange(this, request, body);
            switch (request.path()) {
                case "/health" -> exchange.replyJson(200, new JsonObject().put("ok", true));
                case "/faults" -> setFault(exchange);
                default -> handler.accept(exchange);
            }
        });
    }

    /** Sets faults from a body {"fault": NAME, "count": N}, where count -1 means always, or slow_ms, clear or silence. */
    private void setFault(Exchange exchange) {
        if (!exchange.hasMethod(HttpMethod.POST)) {
            exchange.replyError(405, "method_not_allowed");
            return;
        }
        JsonObject body = exchange.bodyJson();
        if (body.getBoolean("clear", false)) {
            faults.clear();
        }
        if (body.containsKey("slow_ms")) {
            faults.setDelayMs(body.getLong("slow_ms"));
        }
        if (body.containsKey("fault")) {
            setFault(Fault.valueOf(body.getString("fault").toUpperCase(Locale.ROOT)), body.getInteger("count", -1));
        }
        exchange.replyJson(200, new JsonObject().put("ok", true));
        if (body.getBoolean("silence", false)) {
            openConnections.stream()
                    .filter(connection -> connection != exchange.connection())
                    .forEach(silentConnections::add);
        }
    }

    private void setFault(Fault fault, int count) {
        if (count < 0) {
            faults.injectAlways(fault);
            return;
        }
        faults.injectNext(fault, count);
    }
}
