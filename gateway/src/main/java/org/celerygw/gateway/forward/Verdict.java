package org.celerygw.gateway.forward;

/** How a backend server's response is handled. */
enum Verdict {
    /** The response is forwarded to the client. */
    PASS,
    /** The server states that it did not execute the request. */
    NOT_RUN,
    /** The server failed, and the request may be retried at another one. */
    FAILED,
    /** The response is invalid: a success without signature or with a content coding. */
    UNSOUND;

    private static final int SERVER_ERROR = 500;

    /**
     * Decides how a response is handled.
     *
     * @param response the response
     * @param mayRetry whether the request may be sent to another server
     * @param streaming whether a stream has started, which the response continues
     */
    static Verdict of(ResponseMetadata response, boolean mayRetry, boolean streaming) {
        if (response.notExecuted()) {
            return NOT_RUN;
        }
        if (response.isSuccessful()) {
            return response.signed() && !response.encoded() ? PASS : UNSOUND;
        }
        return streaming || (mayRetry && response.status() >= SERVER_ERROR) ? FAILED : PASS;
    }
}
