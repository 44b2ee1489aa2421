package org.celerygw.core.call;

import com.google.protobuf.ByteString;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.jspecify.annotations.Nullable;

/**
 * How a call ended: either with a complete response of the backend server or with an error.
 *
 * @param code the kind of failure, or null if there is a response
 * @param runState whether the call ran
 * @param retryAfterMs the delay before a retry, in ms; 0 for no hint
 * @param message a short description of the failure; empty if there is a response
 * @param status the HTTP status of the response; 0 if there is none
 * @param contentType the media type of the response; empty if there is none
 * @param answer the complete body of the response; empty if there is none
 * @param outputTokens the number of generated tokens
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
     * Returns the outcome of a call with a complete response.
     *
     * @param status the HTTP status of the response
     * @param contentType the media type of the response
     * @param answer the complete body of the response
     * @param outputTokens the number of generated tokens
     * @return the outcome
     */
    public static Outcome answered(int status, String contentType, ByteString answer, int outputTokens) {
        return new Outcome(null, RunState.RUN, 0, "", status, contentType, answer, outputTokens);
    }

    /**
     * Returns the outcome of a call that failed.
     *
     * @param code the kind of failure
     * @param runState whether the call ran
     * @param retryAfterMs the delay before a retry, in ms; 0 for no hint
     * @param message a short sentence for the caller
     * @return the outcome
     */
    public static Outcome failed(ErrorCode code, RunState runState, long retryAfterMs, String message) {
        return new Outcome(code, runState, retryAfterMs, message, 0, "", ByteString.EMPTY, 0);
    }

    /**
     * Converts an exception to the outcome of a failed call.
     *
     * @param failure the exception
     * @return the outcome
     */
    public static Outcome of(GatewayException failure) {
        return failed(failure.code(), failure.runState(), failure.retryAfterMs(), failure.getMessage());
    }

    /**
     * Returns whether there is a complete response.
     *
     * @return false if the call failed
     */
    public boolean isAnswer() {
        return code == null;
    }
}
