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

/** Sends requests to the platform's services and gives up on those that stay unanswered. */
final class StoreClient {
    private static final Logger log = LoggerFactory.getLogger(StoreClient.class);
    private static final int MAX_CONNECTIONS = 64;

    private final Vertx vertx;
    private final URI uri;
    private final long timeoutMs;
    private final HttpClient http;

    StoreClient(Vertx vertx, URI uri, long timeoutMs) {
        this.vertx = vertx;
        this.uri = uri;
        this.timeoutMs = timeoutMs;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) Math.min(timeoutMs, Integer.MAX_VALUE))
                .setTcpNoDelay(true);
        this.http = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    void post(String path, MessageLite body, Consumer<HttpResult> done) {
        send(HttpMethod.POST, path, Buffer.buffer(body.toByteArray()), done);
    }

    void get(String path, Consumer<HttpResult> done) {
        send(HttpMethod.GET, path, Buffer.buffer(), done);
    }

    void send(HttpMethod method, String path, Buffer body, Consumer<HttpResult> done) {
        RequestOptions options = new RequestOptions()
                .setMethod(method)
                .setHost(uri.getHost())
                .setPort(uri.getPort())
                .setURI(path);
        BufferedRequest.send(vertx, http, options, body, timeoutMs, reply -> {
            logLost(reply, path);
            done.accept(reply);
        });
    }

    Future<Void> close() {
        return http.close();
    }

    /** Returns the message in an answer, or the other one when there is none to read. */
    static <T> T parse(HttpResult reply, Parser<T> parser, T other) {
        if (!reply.isOk()) {
            return other;
        }
        try {
            return parser.parseFrom(reply.body().getBytes());
        } catch (InvalidProtocolBufferException e) {
            log.warn("store: unreadable answer: {}", e.getMessage());
            return other;
        }
    }

    private void logLost(HttpResult reply, String path) {
        if (reply.completion() != HttpResult.Completion.ANSWERED) {
            log.warn("store: no answer to {}: {}", path, reply.completion());
        }
    }
}
