package org.celerygw.core.owner;

import java.util.ArrayList;
import java.util.List;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.RunState;
import org.jspecify.annotations.Nullable;

/** A call that this owner has admitted and not yet ended, and the callers that wait for its outcome. */
final class OpenCall {
    final CallRequest request;
    final List<ReplyTag> tags = new ArrayList<>();
    long attempt;
    Phase phase = Phase.WAITING;

    /** The outcome that its callers were sent when the call was refused; once set, the call must not be dispatched. */
    @Nullable
    Outcome refusal;

    boolean aborted;

    /** The run state of the earlier attempt under the same key; NOT_RUN when there was none. */
    final RunState earlierRunState;

    OpenCall(CallRequest request, ReplyTag tag, RunState earlierRunState) {
        this.request = request;
        this.earlierRunState = earlierRunState;
        tags.add(tag);
    }

    /**
     * Returns the outcome, with the run state of the earlier attempt in place of NOT_RUN if that attempt may have run.
     */
    Outcome withEarlierRunState(Outcome outcome) {
        if (outcome.runState() != RunState.NOT_RUN || earlierRunState == RunState.NOT_RUN) {
            return outcome;
        }
        return new Outcome(
                outcome.code(),
                earlierRunState,
                outcome.retryAfterMs(),
                outcome.message(),
                outcome.status(),
                outcome.contentType(),
                outcome.answer(),
                0);
    }

    enum Phase {
        /** It waits for the preceding call to end or for tokens of the customer; nothing is recorded yet. */
        WAITING,
        /** Its reservation and the intent to send it are being written to the journal; it has not been dispatched. */
        RECORDING,
        /** It has been dispatched and its outcome is not known yet. */
        SENT,
        /** Its outcome is being written to the journal. */
        ENDING
    }
}
