package org.celerygw.daemon.backend;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.function.Consumer;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.client.Reply;
import org.celerygw.daemon.client.WholeRequest;
import org.jspecify.annotations.Nullable;

/** The connections to all backend servers: pooled ones, and fresh ones for what must not meet a silent connection. */
final class Connections {
    private static final String JSON = "application/json";

    private final Vertx vertx;
    private final Clock clock;
    private final BackendSettings settings;
    private final HttpClient pooled;
    private final HttpClient fresh;

    Connections(Vertx vertx, Clock clock, BackendSettings settings) {
        this.vertx = vertx;
        this.clock = clock;
        this.settings = settings;
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(settings.maxConnections());
        this.pooled = vertx.createHttpClient(options().setKeepAlive(true), pool);
        this.fresh = vertx.createHttpClient(options().setKeepAlive(false), pool);
    }

    private HttpClientOptions options() {
        return new HttpClientOptions()
                .setConnectTimeout(settings.connectTimeoutMs())
                .setTcpNoDelay(true);
    }

    Vertx vertx() {
        return vertx;
    }

    Clock clock() {
        return clock;
    }

    BackendSettings settings() {
        return settings;
    }

    Future<HttpClientRequest> openModel(ModelRequest model) {
        RequestOptions options = to(model.address(), HttpMethod.POST, "/v1/chat/completions")
                .putHeader("content-type", JSON)
                .putHeader("X-Request-Id", model.requestId())
                .putHeader("X-Priority", Integer.toString(model.priority()));
        if (!model.program().isEmpty()) {
            options.putHeader("X-Program", model.program());
        }
        return request(pooled, options);
    }

    Future<HttpClientRequest> resumeModel(ModelRequest model, int afterEvent) {
        long waitMs = settings.silenceMs() / 2;
        String path = requestPath(model) + "?after=" + afterEvent + "&wait_ms=" + waitMs;
        return request(fresh, to(model.address(), HttpMethod.GET, path));
    }

    /** Tells the engine to stop a request; the engine's memory is released in any case when the program ends. */
    void cancelModel(ModelRequest model) {
        RequestOptions options = to(model.address(), HttpMethod.DELETE, requestPath(model));
        WholeRequest.send(vertx, fresh, options, Buffer.buffer(), settings.askTimeoutMs(), reply -> {
            // The call has ended whether or not the engine heard this.
        });
    }

    WholeRequest tool(ToolRequest tool, Consumer<Reply> done) {
        RequestOptions options = to(tool.address(), HttpMethod.POST, tool.path())
                .putHeader("content-type", tool.contentType())
                .putHeader("Idempotency-Key", tool.idempotencyKey());
        Buffer body = Buffer.buffer(tool.body().toByteArray());
        return WholeRequest.send(vertx, tool.repeatable() ? pooled : fresh, options, body, tool.timeoutMs(), done);
    }

    /** Sends a small request; yields null when it is not answered in time with a JSON object. */
    void ask(
            BackendAddress address,
            HttpMethod method,
            String path,
            JsonObject body,
            Consumer<@Nullable JsonObject> done) {
        RequestOptions options = to(address, method, path).putHeader("content-type", JSON);
        Buffer bytes = method.equals(HttpMethod.GET) ? Buffer.buffer() : body.toBuffer();
        WholeRequest.send(vertx, pooled, options, bytes, settings.askTimeoutMs(), reply -> done.accept(json(reply)));
    }

    /** Sends a small request and yields the answer as it is. */
    void fetch(BackendAddress address, String path, Consumer<Reply> done) {
        RequestOptions options = to(address, HttpMethod.GET, path);
        WholeRequest.send(vertx, fresh, options, Buffer.buffer(), settings.askTimeoutMs(), done);
    }

    Future<Void> close() {
        return Future.join(pooled.close(), fresh.close()).mapEmpty();
    }

    /** Begins a request; a client that was closed meanwhile throws, which counts as a lost connection. */
    private static Future<HttpClientRequest> request(HttpClient client, RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    private RequestOptions to(BackendAddress address, HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(address.ip())
                .setPort(address.port())
                .setURI(path)
                .setConnectTimeout(settings.connectTimeoutMs());
    }

    private static String requestPath(ModelRequest model) {
        return "/v1/requests/" + model.requestId();
    }

    private static @Nullable JsonObject json(Reply reply) {
        if (reply.end() != Reply.End.ANSWERED || reply.status() >= 500) {
            return null;
        }
        try {
            return reply.body().toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            return null;
        }
    }
}
