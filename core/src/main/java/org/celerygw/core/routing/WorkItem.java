package org.celerygw.core.routing;

import java.util.List;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;

/**
 * A model call that asks to be started.
 *
 * @param ticket names the call at this dispatcher; unique while it is known here
 * @param program its program
 * @param customer the program's customer
 * @param priorityClass the program's priority class
 * @param model the model that must serve it
 * @param deadlineMs when the caller stops waiting, in milliseconds since 1970
 * @param programDeadlineMs when the program should have ended, in milliseconds since 1970
 * @param attainedTokens the tokens that the program has been served so far; 0 for its first call
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the most tokens the answer may have
 * @param prefixHashes a hash for each whole leading block of {@link #BLOCK_TOKENS} tokens, over all that precedes
 * @param repeatable whether it may be sent again after a failure
 */
public record WorkItem(
        long ticket,
        ProgramId program,
        CustomerId customer,
        PriorityClassName priorityClass,
        ModelName model,
        long deadlineMs,
        long programDeadlineMs,
        long attainedTokens,
        int promptTokens,
        int maxOutputTokens,
        List<Long> prefixHashes,
        boolean repeatable) {
    /** The tokens that one prefix hash covers. */
    public static final int BLOCK_TOKENS = 64;

    /**
     * Checks the numbers; the list is not copied and must not change.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is negative
     */
    public WorkItem {
        Check.notNegative(attainedTokens, "attainedTokens");
        Check.notNegative(promptTokens, "promptTokens");
        Check.notNegative(maxOutputTokens, "maxOutputTokens");
    }
}
