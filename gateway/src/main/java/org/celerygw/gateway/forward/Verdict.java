package org.celerygw.gateway.forward;

/** How a backend server's response is handled. */
enum Verdict {
    /** The response is forwarded to the client. */
    PASS,
    /** The server states that it did not execute the request. */
    NOT_RUN,
    /** The response reports a failure that the client does not get; the request may be retried where that is allowed. */
    FAILED,
    /** The response is invalid: without the request's id, or a success without signature or with a content coding. */
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
        if (!response.identified()) {
            // It may be a second copy of an earlier one, so that not even a refusal can be trusted.
            return UNSOUND;
        }
        if (response.notExecuted()) {
            return NOT_RUN;
        }
        if (response.isSuccessful()) {
            return response.signed() && !response.encoded() ? PASS : UNSOUND;
        }
        boolean mayMislead = streaming || response.promisesNotExecuted();
        return mayMislead || (mayRetry && response.status() >= SERVER_ERROR) ? FAILED : PASS;
    }
}
