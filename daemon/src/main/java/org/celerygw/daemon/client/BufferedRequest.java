package org.celerygw.daemon.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;
import org.celerygw.core.helper.StatusLine;

/**
 * An HTTP request whose response is buffered until it is complete. The callback is called exactly once. After a timeout
 * the connection is closed: it may have failed silently, and every later request on it would time out as well.
 */
public final class BufferedRequest {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final Vertx vertx;
    private final Consumer<HttpResult> onComplete;
    private final Future<HttpClientRequest> openedRequest;
    private final long timeoutTimer;
    private boolean sent;
    private boolean ended;

    private BufferedRequest(
            Vertx vertx,
            HttpClient http,
            RequestOptions options,
            Buffer body,
            long timeoutMs,
            Consumer<HttpResult> onComplete) {
        this.vertx = vertx;
        this.onComplete = onComplete;
        this.openedRequest = http.request(options);
        this.timeoutTimer = vertx.setTimer(timeoutMs, id -> abort(HttpResult.Completion.TIMED_OUT));
        openedRequest.onComplete(result -> {
            if (result.failed()) {
                fail();
                return;
            }
            send(result.result(), body);
        });
    }

    /**
     * Sends a request.
     *
     * @param vertx runs the timeout
     * @param http the client that opens or reuses the connection
     * @param options the method, address, path and headers
     * @param body the request body
     * @param timeoutMs the timeout, from opening a connection to the last byte of the response
     * @param onComplete called once with the result, on the event loop of this call
     * @return the request, which can be cancelled
     */
    public static BufferedRequest send(
            Vertx vertx,
            HttpClient http,
            RequestOptions options,
            Buffer body,
            long timeoutMs,
            Consumer<HttpResult> onComplete) {
        return new BufferedRequest(vertx, http, options, body, timeoutMs, onComplete);
    }

    /** Cancels the request and closes its connection. Has no effect after the request has ended. */
    public void cancel() {
        abort(HttpResult.Completion.CANCELLED);
    }

    private void send(HttpClientRequest request, Buffer body) {
        if (ended) {
            // The request ended before the connection was open, so nothing was written on it.
            close(request);
            return;
        }
        sent = true;
        Future<Void> written = request.end(body);
        request.response().onComplete(result -> {
            if (result.failed()) {
                fail();
                return;
            }
            receive(result.result(), written);
        });
    }

    private void receive(HttpClientResponse response, Future<Void> written) {
        if (!hasSoundHead(response)) {
            abort(HttpResult.Completion.FAILED);
            return;
        }
        Buffer responseBody = Buffer.buffer();
        response.handler(part -> {
            responseBody.appendBuffer(part);
            if (responseBody.length() > MAX_RESPONSE_BYTES) {
                abort(HttpResult.Completion.FAILED);
            }
        });
        response.exceptionHandler(e -> fail());
        response.endHandler(v -> {
            if (written.failed()) {
                // A reset that a write notices closes the connection, which ends a body without a length.
                fail();
                return;
            }
            end(new HttpResult(
                    HttpResult.Completion.ANSWERED,
                    true,
                    response.statusCode(),
                    header(response, "content-type"),
                    retryAfterMs(response),
                    responseBody));
        });
    }

    private void fail() {
        end(HttpResult.withoutResponse(HttpResult.Completion.FAILED, sent));
    }

    private void abort(HttpResult.Completion completion) {
        if (ended) {
            return;
        }
        boolean wasSent = sent;
        if (wasSent) {
            close(openedRequest.result());
        }
        end(HttpResult.withoutResponse(completion, wasSent));
    }

    private void end(HttpResult result) {
        if (ended) {
            return;
        }
        ended = true;
        vertx.cancelTimer(timeoutTimer);
        onComplete.accept(result);
    }

    private static void close(HttpClientRequest request) {
        request.connection().close().onFailure(e -> {
            // The connection is already closed.
        });
    }

    /**
     * Returns whether the head of a response is sound: it has a status that can end a request, and no other response has run
     * into it. A connection goes back to its pool even if the beginning of a further response has arrived, which is then
     * read as the beginning of the next one.
     *
     * @param response a response whose header section has been received
     * @return false if its status is none, or may be that of another response
     */
    public static boolean hasSoundHead(HttpClientResponse response) {
        return StatusLine.isFinal(response.statusCode())
                && !StatusLine.occursIn(response.statusMessage())
                && response.headers().entries().stream()
                        .noneMatch(
                                field -> StatusLine.occursIn(field.getKey()) || StatusLine.occursIn(field.getValue()));
    }

    /**
     * Returns the delay after which the server asks for a retry, from Retry-After-Ms or else from Retry-After.
     *
     * @param response a response whose header section has been received
     * @return the delay in milliseconds; 0 if there is no valid header
     */
    public static long retryAfterMs(HttpClientResponse response) {
        long delayMs = parseNumber(header(response, "retry-after-ms"));
        return delayMs > 0 ? delayMs : parseNumber(header(response, "retry-after")) * 1000;
    }

    private static String header(HttpClientResponse response, String name) {
        String value = response.getHeader(name);
        return value == null ? "" : value;
    }

    private static long parseNumber(String text) {
        boolean isNumber = !text.isEmpty() && text.length() < 10 && text.chars().allMatch(Character::isDigit);
        return isNumber ? Long.parseLong(text) : 0;
    }
}
