package org.celerygw.core.owner;

import java.util.ArrayList;
import java.util.List;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.RunState;
import org.jspecify.annotations.Nullable;

/** A call that is under way on this owner, and the callers that wait for it. */
final class OpenCall {
    final CallRequest call;
    final List<ReplyTag> tags = new ArrayList<>();
    long attempt;
    Phase phase = Phase.FUNDING;

    /** Set when the call must not be sent any more: what its callers were told. */
    @Nullable
    Outcome refusal;

    boolean aborted;

    /** Whether an earlier attempt under the same key may have run. */
    final RunState earlier;

    OpenCall(CallRequest call, ReplyTag tag, RunState earlier) {
        this.call = call;
        this.earlier = earlier;
        tags.add(tag);
    }

    /** Returns the outcome with a run state that does not deny an earlier attempt. */
    Outcome notBelow(Outcome o) {
        if (o.runState() != RunState.NOT_RUN || earlier == RunState.NOT_RUN) {
            return o;
        }
        return new Outcome(
                o.code(), earlier, o.retryAfterMs(), o.message(), o.status(), o.contentType(), o.answer(), 0);
    }

    enum Phase {
        /** It waits for its predecessor or for tokens of the customer; nothing is recorded. */
        FUNDING,
        /** Its reservation or intent is on its way to the table; it was not sent. */
        RECORDING,
        /** It was sent. */
        SENT,
        /** Its outcome is on its way to the table. */
        ENDING
    }
}
