package org.celerygw.gateway.forward;

/**
 * What a client's headers say, decoded once.
 *
 * @param id the attempt's id; empty when the client gave none
 * @param host the host that it asks for
 * @param deadlineMs how long the client waits, in ms from the arrival; negative when it did not say
 * @param thing what the request is about, so that like things stay together; empty when it did not say
 * @param program the program that it belongs to; empty for none
 * @param previousTurn the turn that it continues; empty for none
 * @param budgetTokens what all turns of the program may generate; negative when it did not say
 * @param maxTokens the most that it generates; 0 when it did not say
 * @param lastEventId the last event that the client has; negative when it begins at the start
 */
public record Call(
        String id,
        String host,
        long deadlineMs,
        String thing,
        String program,
        String previousTurn,
        long budgetTokens,
        long maxTokens,
        long lastEventId) {
    /**
     * Returns whether this is a turn of a program with a budget.
     *
     * @return true when tokens are to be reserved for it
     */
    public boolean budgeted() {
        return !program.isEmpty() && budgetTokens >= 0;
    }
}
