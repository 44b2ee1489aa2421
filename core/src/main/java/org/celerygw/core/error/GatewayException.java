package org.celerygw.core.error;

/** A failure with its error code, whether the request ran, and when to retry it. */
public final class GatewayException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final RunState runState;
    private final long retryAfterMs;

    /**
     * Creates a failure of a request that did not run, without a retry hint.
     *
     * @param code the kind of failure
     * @param message a short sentence for the caller
     */
    public GatewayException(ErrorCode code, String message) {
        this(code, RunState.NOT_RUN, 0, message);
    }

    /**
     * Creates a failure.
     *
     * @param code the kind of failure
     * @param runState whether the request ran
     * @param retryAfterMs the delay before a retry, in ms; 0 for no hint
     * @param message a short sentence for the caller
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
     * Returns the hinted delay before a retry.
     *
     * @return the delay, in ms; 0 for no hint
     */
    public long retryAfterMs() {
        return retryAfterMs;
    }
}
