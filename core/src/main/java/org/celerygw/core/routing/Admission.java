package org.celerygw.core.routing;

import org.celerygw.core.error.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * The result of offering a call to the dispatcher. A refused call has not run and will not run.
 *
 * @param refusalCode the reason for the refusal, or null when the call was queued
 * @param retryAfterMs the suggested delay before a retry, in milliseconds; 0 for no suggestion
 * @param logLine the log line of the refusal; empty when the call was queued
 */
public record Admission(@Nullable ErrorCode refusalCode, long retryAfterMs, String logLine) {
    /** The result for a call that was queued. */
    public static final Admission ACCEPTED = new Admission(null, 0, "");

    /**
     * Returns whether the call was queued.
     *
     * @return true when the call was queued, false when it was refused
     */
    public boolean accepted() {
        return refusalCode == null;
    }
}
