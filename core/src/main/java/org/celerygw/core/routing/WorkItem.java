package org.celerygw.core.routing;

import java.util.List;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;

/**
 * A model call that is offered to the dispatcher.
 *
 * @param ticket the id of the call at this dispatcher; unique among its queued and started calls
 * @param program the program that made the call
 * @param customer the customer to which the program belongs
 * @param priorityClass the priority class of the program
 * @param model the model that an engine must have loaded to serve the call
 * @param deadlineMs the time at which the caller stops waiting, in milliseconds since 1970
 * @param programDeadlineMs the time by which the program should have ended, in milliseconds since 1970
 * @param attainedTokens the number of tokens already served to the program; 0 for its first call
 * @param promptTokens the length of the prompt in tokens
 * @param maxOutputTokens the maximum length of the output in tokens
 * @param prefixHashes one hash per complete block of {@link #BLOCK_TOKENS} prompt tokens, each over the prompt
 *     from its start to the end
 *     of that block
 * @param repeatable whether the call may be sent again after a failure
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
    /** The number of tokens in a prefix block. */
    public static final int BLOCK_TOKENS = 64;

    /**
     * Checks the token counts. The list is not copied and must not be modified.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is negative
     */
    public WorkItem {
        Check.notNegative(attainedTokens, "attainedTokens");
        Check.notNegative(promptTokens, "promptTokens");
        Check.notNegative(maxOutputTokens, "maxOutputTokens");
    }
}
