package org.celerygw.core.routing;

import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.id.BackendServerId;

/** What to do with a waiting call. */
public sealed interface Decision {
    /**
     * Returns the call's ticket.
     *
     * @return the ticket given with the work item
     */
    long ticket();

    /**
     * Returns the decision for the log.
     *
     * @return one short sentence with its prefix
     */
    String line();

    /**
     * Start the call on an engine.
     *
     * @param ticket the call
     * @param engine where to send it
     * @param enginePriority the engine serves lower values first; comparable between hosts
     * @param line the decision for the log
     */
    record Start(long ticket, BackendServerId engine, int enginePriority, String line) implements Decision {}

    /**
     * Fail the call: it did not run and will not.
     *
     * @param ticket the call
     * @param code why
     * @param retryAfterMs when to retry, in milliseconds from now; 0 gives no hint
     * @param line the decision for the log
     */
    record Drop(long ticket, ErrorCode code, long retryAfterMs, String line) implements Decision {}
}
