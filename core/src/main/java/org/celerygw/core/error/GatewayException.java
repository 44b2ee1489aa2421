package org.celerygw.core.error;

/** A typed failure: its code, whether the request ran, and when to retry. */
public final class GatewayException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final RunState runState;
    private final long retryAfterMs;

    /**
     * Makes a failure of a request that did not run.
     *
     * @param code the kind of failure
     * @param message one short sentence for the reader
     */
    public GatewayException(ErrorCode code, String message) {
        this(code, RunState.NOT_RUN, 0, message);
    }

    /**
     * Makes a failure.
     *
     * @param code the kind of failure
     * @param runState whether the request ran
     * @param retryAfterMs when to retry, in milliseconds from now; 0 gives no hint
     * @param message one short sentence for the reader
     */
    public GatewayException(ErrorCode code, RunState runState, long retryAfterMs, String message) {
        super(message);
        this.code = code;
        this.runState = runState;
        this.retryAfterMs = retryAfterMs;
    }

    /**
     * Returns the kind of failure.
     *
     * @return the code
     */
    public ErrorCode code() {
        return code;
    }

    /**
     * Returns whether the request ran.
     *
     * @return the run state
     */
    public RunState runState() {
        return runState;
    }

    /**
     * Returns when to retry.
     *
     * @return milliseconds from now, or 0 for no hint
     */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
