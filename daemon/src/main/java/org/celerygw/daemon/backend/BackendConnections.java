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
import org.celerygw.daemon.client.BufferedRequest;
import org.celerygw.daemon.client.HttpResult;
import org.jspecify.annotations.Nullable;

/**
 * The connections to all backend servers. Requests that a silently failed connection must not delay or lose get a new
 * connection each; all others share pooled connections.
 */
final class BackendConnections {
    private static final String JSON = "application/json";

    private final Vertx vertx;
    private final Clock clock;
    private final BackendSettings settings;
    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;

    BackendConnections(Vertx vertx, Clock clock, BackendSettings settings) {
        this.vertx = vertx;
        this.clock = clock;
        this.settings = settings;
        PoolOptions poolOptions = new PoolOptions().setHttp1MaxSize(settings.maxConnections());
        this.pooledClient = vertx.createHttpClient(clientOptions().setKeepAlive(true), poolOptions);
        this.unpooledClient = vertx.createHttpClient(clientOptions().setKeepAlive(false), poolOptions);
    }

    private HttpClientOptions clientOptions() {
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

    Future<HttpClientRequest> openModelRequest(ModelRequest model) {
        RequestOptions options = requestOptions(model.address(), HttpMethod.POST, "/v1/chat/completions")
                .putHeader("content-type", JSON)
                .putHeader("X-Request-Id", model.requestId())
                .putHeader("X-Priority", Integer.toString(model.priority()));
        if (!model.program().isEmpty()) {
            options.putHeader("X-Program", model.program());
        }
        return open(pooledClient, options);
    }

    Future<HttpClientRequest> openResumeRequest(ModelRequest model, int afterEvent) {
        long waitMs = settings.silenceTimeoutMs() / 2;
        String path = requestPath(model) + "?after=" + afterEvent + "&wait_ms=" + waitMs;
        return open(unpooledClient, requestOptions(model.address(), HttpMethod.GET, path));
    }

    /** Requests that the engine stop a model call. Its memory is released in any case when the program ends. */
    void sendCancel(ModelRequest model) {
        RequestOptions options = requestOptions(model.address(), HttpMethod.DELETE, requestPath(model));
        BufferedRequest.send(vertx, unpooledClient, options, Buffer.buffer(), settings.controlTimeoutMs(), result -> {
            // The call has already ended, whether or not the engine received the cancellation.
        });
    }

    BufferedRequest sendToolRequest(ToolRequest tool, Consumer<HttpResult> onComplete) {
        RequestOptions options = requestOptions(tool.address(), HttpMethod.POST, tool.path())
                .putHeader("content-type", tool.contentType())
                .putHeader("Idempotency-Key", tool.idempotencyKey());
        Buffer body = Buffer.buffer(tool.body().toByteArray());
        return BufferedRequest.send(
                vertx, tool.repeatable() ? pooledClient : unpooledClient, options, body, tool.timeoutMs(), onComplete);
    }

    /**
     * Sends a control request on a pooled connection. The callback receives null if no JSON object arrives before the
     * timeout or the status is 500 or above.
     */
    void sendForJson(
            BackendAddress address,
            HttpMethod method,
            String path,
            JsonObject body,
            Consumer<@Nullable JsonObject> onComplete) {
        RequestOptions options = requestOptions(address, method, path).putHeader("content-type", JSON);
        Buffer bytes = method.equals(HttpMethod.GET) ? Buffer.buffer() : body.toBuffer();
        BufferedRequest.send(
                vertx,
                pooledClient,
                options,
                bytes,
                settings.controlTimeoutMs(),
                result -> onComplete.accept(parseJson(result)));
    }

    /** Sends a GET request on a new connection and returns the result as received. */
    void get(BackendAddress address, String path, Consumer<HttpResult> onComplete) {
        RequestOptions options = requestOptions(address, HttpMethod.GET, path);
        BufferedRequest.send(vertx, unpooledClient, options, Buffer.buffer(), settings.controlTimeoutMs(), onComplete);
    }

    Future<Void> close() {
        return Future.join(pooledClient.close(), unpooledClient.close()).mapEmpty();
    }

    /** Opens a request. A client that is already closed throws, which is reported as a failed connection. */
    private static Future<HttpClientRequest> open(HttpClient client, RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    private RequestOptions requestOptions(BackendAddress address, HttpMethod method, String path) {
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

    private static @Nullable JsonObject parseJson(HttpResult result) {
        if (result.completion() != HttpResult.Completion.ANSWERED || result.status() >= 500) {
            return null;
        }
        try {
            return result.body().toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            return null;
        }
    }
}
