package org.celerygw.core.routing;

import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.id.BackendServerId;

/** The decision about a queued call: to start it or to fail it. */
public sealed interface Decision {
    /**
     * Returns the ticket of the call that the decision is about.
     *
     * @return the ticket of the work item that was offered
     */
    long ticket();

    /**
     * Returns the text of the decision for the log.
     *
     * @return one short sentence that begins with the kind of decision, such as {@code route:}
     */
    String logLine();

    /**
     * Starts the call on an engine.
     *
     * @param ticket the ticket of the call
     * @param engine the engine that receives the call
     * @param enginePriority the priority inside the engine, which serves lower values first; comparable between hosts
     * @param logLine the text of the decision for the log
     */
    record Start(long ticket, BackendServerId engine, int enginePriority, String logLine) implements Decision {}

    /**
     * Fails the call, which has not run and will not run.
     *
     * @param ticket the ticket of the call
     * @param code the error to report to the caller
     * @param retryAfterMs the suggested delay before a retry, in milliseconds; 0 for no suggestion
     * @param logLine the text of the decision for the log
     */
    record Drop(long ticket, ErrorCode code, long retryAfterMs, String logLine) implements Decision {}
}
