package org.celerygw.daemon.store;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.function.Consumer;
import org.celerygw.daemon.client.BufferedRequest;
import org.celerygw.daemon.client.HttpResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP client of the platform's services; a request without a response within the timeout fails. */
final class StoreClient {
    private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
    private static final int MAX_CONNECTIONS = 64;

    private final Vertx vertx;
    private final URI uri;
    private final long timeoutMs;
    private final HttpClient httpClient;

    StoreClient(Vertx vertx, URI uri, long timeoutMs) {
        this.vertx = vertx;
        this.uri = uri;
        this.timeoutMs = timeoutMs;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) Math.min(timeoutMs, Integer.MAX_VALUE))
                .setTcpNoDelay(true);
        this.httpClient = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    void post(String path, MessageLite body, Consumer<HttpResult> callback) {
        send(HttpMethod.POST, path, Buffer.buffer(body.toByteArray()), callback);
    }

    void get(String path, Consumer<HttpResult> callback) {
        send(HttpMethod.GET, path, Buffer.buffer(), callback);
    }

    void send(HttpMethod method, String path, Buffer body, Consumer<HttpResult> callback) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(uri.getHost())
                .setPort(uri.getPort())
                .setURI(path);
        BufferedRequest.send(vertx, httpClient, options, body, timeoutMs, result -> {
            logFailure(result, path);
            callback.accept(result);
        });
    }

    Future<Void> close() {
        return httpClient.close();
    }

    /** Parses a response body; returns the fallback if the request failed or the body cannot be parsed. */
    static <T> T parse(HttpResult result, Parser<T> parser, T fallback) {
        if (!result.isOk()) {
            return fallback;
        }
        try {
            return parser.parseFrom(result.body().getBytes());
        } catch (InvalidProtocolBufferException e) {
            log.warn("store: cannot parse the response body: {}", e.getMessage());
            return fallback;
        }
    }

    private void logFailure(HttpResult result, String path) {
        if (result.completion() != HttpResult.Completion.ANSWERED) {
            log.warn("store: no response to {}: {}", path, result.completion());
        }
    }
}
