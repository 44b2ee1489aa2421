package org.celerygw.daemon.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;

/**
 * One request whose answer is taken whole. It ends exactly once. A connection that has not answered by the timeout is
 * closed, as it may have gone silent and would fail every later request too.
 */
public final class WholeRequest {
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private final Vertx vertx;
    private final Consumer<Reply> done;
    private final Future<HttpClientRequest> opened;
    private final long timer;
    private boolean sent;
    private boolean ended;

    private WholeRequest(
            Vertx vertx, HttpClient http, RequestOptions options, Buffer body, long timeoutMs, Consumer<Reply> done) {
        this.vertx = vertx;
        this.done = done;
        this.opened = http.request(options);
        this.timer = vertx.setTimer(timeoutMs, id -> abandon(Reply.End.TIMED_OUT));
        opened.onComplete(open -> {
            if (open.failed()) {
                fail();
                return;
            }
            send(open.result(), body);
        });
    }

    /**
     * Sends a request.
     *
     * @param vertx runs the timeout
     * @param http holds the connections
     * @param options where to send it
     * @param body its body
     * @param timeoutMs how long it may take, from opening a connection to the answer's last byte
     * @param done told once how it ended, on the event loop of this call
     * @return the request, to be cancelled
     */
    public static WholeRequest send(
            Vertx vertx, HttpClient http, RequestOptions options, Buffer body, long timeoutMs, Consumer<Reply> done) {
        return new WholeRequest(vertx, http, options, body, timeoutMs, done);
    }

    /** Gives up and closes the connection; does nothing when the request has ended. */
    public void cancel() {
        abandon(Reply.End.CANCELLED);
    }

    private void send(HttpClientRequest request, Buffer body) {
        if (ended) {
            // The connection was opened too late; nothing was written on it.
            close(request);
            return;
        }
        sent = true;
        request.send(body).onComplete(answer -> {
            if (answer.failed()) {
                fail();
                return;
            }
            receive(answer.result());
        });
    }

    private void receive(HttpClientResponse response) {
        Buffer whole = Buffer.buffer();
        response.handler(part -> {
            whole.appendBuffer(part);
            if (whole.length() > MAX_ANSWER_BYTES) {
                abandon(Reply.End.FAILED);
            }
        });
        response.exceptionHandler(e -> fail());
        response.endHandler(v -> end(new Reply(
                Reply.End.ANSWERED,
                true,
                response.statusCode(),
                header(response, "content-type"),
                retryAfterMs(response),
                whole)));
    }

    private void fail() {
        end(Reply.without(Reply.End.FAILED, sent));
    }

    private void abandon(Reply.End end) {
        if (ended) {
            return;
        }
        boolean wasSent = sent;
        if (wasSent) {
            close(opened.result());
        }
        end(Reply.without(end, wasSent));
    }

    private void end(Reply reply) {
        if (ended) {
            return;
        }
        ended = true;
        vertx.cancelTimer(timer);
        done.accept(reply);
    }

    private static void close(HttpClientRequest request) {
        request.connection().close().onFailure(e -> {
            // It is closed already.
        });
    }

    /**
     * Returns the server's hint on when to retry.
     *
     * @param response an answer's head
     * @return milliseconds from now, or 0 for no hint
     */
    public static long retryAfterMs(HttpClientResponse response) {
        long ms = number(header(response, "retry-after-ms"));
        return ms > 0 ? ms : number(header(response, "retry-after")) * 1000;
    }

    private static String header(HttpClientResponse response, String name) {
        String value = response.getHeader(name);
        return value == null ? "" : value;
    }

    private static long number(String text) {
        boolean digits = !text.isEmpty() && text.length() < 10 && text.chars().allMatch(Character::isDigit);
        return digits ? Long.parseLong(text) : 0;
    }
}
