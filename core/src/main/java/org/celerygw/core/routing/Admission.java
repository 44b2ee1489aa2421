package org.celerygw.core.routing;

import org.celerygw.core.error.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Whether a call was taken into the queue. A refused call did not run and will not.
 *
 * @param refusal why it was refused, or null when it was taken
 * @param retryAfterMs when to retry, in milliseconds from now; 0 gives no hint
 * @param line the decision for the log; empty for a call that was taken
 */
public record Admission(@Nullable ErrorCode refusal, long retryAfterMs, String line) {
    /** The call waits in the queue. */
    public static final Admission ACCEPTED = new Admission(null, 0, "");

    /**
     * Returns whether the call was taken.
     *
     * @return true when it waits in the queue
     */
    public boolean accepted() {
        return refusal == null;
    }
}
