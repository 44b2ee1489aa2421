package org.celerygw.daemon.store;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.function.Consumer;
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

    void post(String path, MessageLite body, Consumer<Reply> done) {
        send(HttpMethod.POST, path, Buffer.buffer(body.toByteArray()), done);
    }

    void get(String path, Consumer<Reply> done) {
        send(HttpMethod.GET, path, Buffer.buffer(), done);
    }

    void send(HttpMethod method, String path, Buffer body, Consumer<Reply> done) {
        new Attempt(done).start(method, path, body);
    }

    Future<Void> close() {
        return http.close();
    }

    /**
     * An answer, or none.
     *
     * @param status the HTTP status; 0 when no whole answer came
     * @param body the whole body
     */
    record Reply(int status, Buffer body) {
        static final Reply NONE = new Reply(0, Buffer.buffer());

        boolean isOk() {
            return status == 200;
        }

        /** Returns the message in the body, or the other one when there is none to read. */
        <T> T parse(Parser<T> parser, T other) {
            if (!isOk()) {
                return other;
            }
            try {
                return parser.parseFrom(body.getBytes());
            } catch (InvalidProtocolBufferException e) {
                log.warn("store: unreadable answer: {}", e.getMessage());
                return other;
            }
        }
    }

    /** One request; ends once, by the answer, a failure or the timeout. */
    private final class Attempt {
        private final Consumer<Reply> done;
        private boolean ended;
        private long timer;

        private Attempt(Consumer<Reply> done) {
            this.done = done;
        }

        private void start(HttpMethod method, String path, Buffer body) {
            RequestOptions options = new RequestOptions()
                    .setMethod(method)
                    .setHost(uri.getHost())
                    .setPort(uri.getPort())
                    .setURI(path);
            Future<HttpClientRequest> opened = http.request(options);
            timer = vertx.setTimer(timeoutMs, id -> timeout(opened, path));
            opened.compose(request -> request.send(body))
                    .compose(response -> response.body().map(whole -> new Reply(response.statusCode(), whole)))
                    .onComplete(result -> end(result.succeeded() ? result.result() : Reply.NONE));
        }

        /** Closes the connection: once silent, it would fail every later request too. */
        private void timeout(Future<HttpClientRequest> opened, String path) {
            if (ended) {
                return;
            }
            log.warn("store: no answer in {} ms to {}", timeoutMs, path);
            opened.onSuccess(request -> request.connection().close());
            end(Reply.NONE);
        }

        private void end(Reply reply) {
            if (ended) {
                return;
            }
            ended = true;
            vertx.cancelTimer(timer);
            done.accept(reply);
        }
    }
}
