package org.celerygw.core.call;

import com.google.protobuf.ByteString;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.jspecify.annotations.Nullable;

/**
 * How a call ended: either a whole answer of the back end or a typed failure.
 *
 * @param code the failure, or null when there is an answer
 * @param runState whether the call took effect
 * @param retryAfterMs when to retry, in milliseconds from now; 0 gives no hint
 * @param message a short sentence on the failure; empty for an answer
 * @param status the back end's HTTP status; 0 for a failure of our own
 * @param contentType the answer's media type
 * @param answer the answer's bytes, whole
 * @param outputTokens the tokens generated
 */
public record Outcome(
        @Nullable ErrorCode code,
        RunState runState,
        long retryAfterMs,
        String message,
        int status,
        String contentType,
        ByteString answer,
        int outputTokens) {

    /**
     * Returns the outcome of a call that was answered.
     *
     * @param status the back end's HTTP status
     * @param contentType the answer's media type
     * @param answer the whole answer
     * @param outputTokens the tokens generated
     * @return the outcome
     */
    public static Outcome answered(int status, String contentType, ByteString answer, int outputTokens) {
        return new Outcome(null, RunState.RUN, 0, "", status, contentType, answer, outputTokens);
    }

    /**
     * Returns the outcome of a call that failed.
     *
     * @param code the kind of failure
     * @param runState whether the call took effect
     * @param retryAfterMs when to retry, in milliseconds from now; 0 gives no hint
     * @param message a short sentence for the reader
     * @return the outcome
     */
    public static Outcome failed(ErrorCode code, RunState runState, long retryAfterMs, String message) {
        return new Outcome(code, runState, retryAfterMs, message, 0, "", ByteString.EMPTY, 0);
    }

    /**
     * Returns the outcome that a failure stands for.
     *
     * @param failure the failure
     * @return the outcome
     */
    public static Outcome of(GatewayException failure) {
        return failed(failure.code(), failure.runState(), failure.retryAfterMs(), failure.getMessage());
    }

    /**
     * Returns whether the back end answered.
     *
     * @return true when there is an answer
     */
    public boolean isAnswer() {
        return code == null;
    }
}
