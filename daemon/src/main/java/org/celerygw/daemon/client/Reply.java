package org.celerygw.daemon.client;

import io.vertx.core.buffer.Buffer;

/**
 * How a request ended.
 *
 * @param end how it ended
 * @param sent whether any part of the request may have left this host
 * @param status the HTTP status; 0 unless answered
 * @param contentType the answer's media type; empty unless answered
 * @param retryAfterMs the server's hint, in milliseconds from now; 0 for none
 * @param body the whole answer; empty unless answered
 */
public record Reply(End end, boolean sent, int status, String contentType, long retryAfterMs, Buffer body) {
    /** The ways in which a request ends. */
    public enum End {
        /** The answer came whole. */
        ANSWERED,
        /** The connection could not be opened or broke. */
        FAILED,
        /** The time was up. */
        TIMED_OUT,
        /** The caller gave up. */
        CANCELLED
    }

    /**
     * Returns whether the answer came whole with status 200.
     *
     * @return true for 200
     */
    public boolean isOk() {
        return status == 200;
    }

    static Reply without(End end, boolean sent) {
        return new Reply(end, sent, 0, "", 0, Buffer.buffer());
    }
}
