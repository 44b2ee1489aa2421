package org.celerygw.gateway.forward;

import java.util.List;
import org.celerygw.core.routes.Route;
import org.celerygw.core.servers.PromptPart;

/**
 * Metadata of a client's request, decoded from its header section.
 *
 * @param id the id of the client's attempt; empty when the header is absent
 * @param host the requested host
 * @param timeoutMs how long the client waits, in ms from the arrival of the request; negative when not specified
 * @param affinityKey the key by which related requests go to the same backend server; empty when not specified
 * @param program the id of the program that the request belongs to; empty for none
 * @param programTimeoutMs the time until the program should be finished, in ms from the arrival of the request; 0 when
 *     that time has passed, negative when not specified
 * @param previousTurn the id of the turn that the request continues; empty for none
 * @param budgetTokens the token budget for the output of all turns of the program; negative when not specified
 * @param promptTokens the number of tokens of the request's prompt, its history included; 0 when not specified
 * @param promptParts the parts of the prompt in their order, which other requests may share; empty when not specified
 * @param maxTokens the maximum number of tokens that this request generates; 0 when not specified
 * @param lastEventId the id of the last event that the client received; negative to stream from the first event
 * @param resumedAttempt the id of the client attempt that brought the first event of the stream to resume; empty when not
 *     specified
 * @param credentials what the client presents to prove for which customer it acts
 */
public record RequestMetadata(
        String id,
        String host,
        long timeoutMs,
        String affinityKey,
        String program,
        long programTimeoutMs,
        String previousTurn,
        long budgetTokens,
        long promptTokens,
        List<PromptPart> promptParts,
        long maxTokens,
        long lastEventId,
        String resumedAttempt,
        Credentials credentials) {
    /** Copies the list of parts. */
    public RequestMetadata {
        promptParts = List.copyOf(promptParts);
    }

    /**
     * Returns how long the request may take.
     *
     * @param route its route
     * @return the shorter one of the client's timeout and the route's, in ms from the arrival of the request
     */
    public long timeoutMs(Route route) {
        return timeoutMs < 0 ? route.timeoutMs() : Math.min(timeoutMs, route.timeoutMs());
    }

    /**
     * Returns whether the client resumes a stream of which it has received events.
     *
     * @return true if the request names the last event received
     */
    public boolean resumesStream() {
        return lastEventId >= 0;
    }

    /**
     * Returns whether the request is a turn of a program with a token budget.
     *
     * @return true when tokens must be reserved before the turn
     */
    public boolean hasBudget() {
        return !program.isEmpty() && budgetTokens >= 0;
    }
}
