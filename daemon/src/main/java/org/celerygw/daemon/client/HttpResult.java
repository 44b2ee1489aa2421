package org.celerygw.daemon.client;

import io.vertx.core.buffer.Buffer;

/**
 * The result of an HTTP request: a complete response or the reason why there is none.
 *
 * @param completion how the request completed
 * @param requestSent whether any byte of the request may have left this host
 * @param status the HTTP status code; 0 without a response
 * @param contentType the response's media type; empty without a response
 * @param retryAfterMs the server's retry hint, in milliseconds from now; 0 for none
 * @param body the complete response body; empty without a response
 */
public record HttpResult(
        Completion completion, boolean requestSent, int status, String contentType, long retryAfterMs, Buffer body) {
    /** How a request completed. */
    public enum Completion {
        /** The complete response was received. */
        ANSWERED,
        /** The connection could not be opened or was lost, or the response was too large. */
        FAILED,
        /** The response was not complete before the timeout. */
        TIMED_OUT,
        /** The caller cancelled the request. */
        CANCELLED
    }

    /**
     * Returns whether a complete response with status 200 was received.
     *
     * @return false for any other status and without a response
     */
    public boolean isOk() {
        return status == 200;
    }

    static HttpResult withoutResponse(Completion end, boolean requestSent) {
        return new HttpResult(end, requestSent, 0, "", 0, Buffer.buffer());
    }
}
