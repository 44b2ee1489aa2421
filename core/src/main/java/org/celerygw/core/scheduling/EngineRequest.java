package org.celerygw.core.scheduling;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.servers.PromptPart;

/**
 * A request to an engine, as far as scheduling is concerned.
 *
 * @param service the service whose engines can run it
 * @param softwareVersion the software version of the engines that can run it; empty for any
 * @param program the program that it belongs to; empty for none
 * @param affinityKey the key of requests that should go to the same engine
 * @param previousServer the id of the engine that ran the previous turn; empty if unknown
 * @param triedServers the ids of engines that have failed or rejected it
 * @param continuesTurn whether it continues an earlier turn or stream, so that its program is certainly under way
 * @param rank the urgency rank of its route; 0 is the most urgent
 * @param latestStartMs the latest time at which it can start and still be answered by its deadline, in ms
 * @param programDeadlineMs when its program should be finished, in ms; {@link Long#MAX_VALUE} if unknown
 * @param customer the customer that it belongs to; empty for none
 * @param tokens the engine memory that it can hold at its end, in tokens; 0 if not known
 * @param sharedParts the parts of its prompt that other requests share, in their order
 */
public record EngineRequest(
        String service,
        String softwareVersion,
        String program,
        String affinityKey,
        String previousServer,
        Set<String> triedServers,
        boolean continuesTurn,
        int rank,
        long latestStartMs,
        long programDeadlineMs,
        Optional<CustomerId> customer,
        long tokens,
        List<PromptPart> sharedParts) {
    /** Copies the list of parts. */
    public EngineRequest {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Creates a request without shared parts of the prompt; the parameters are those of the record.
     *
     * @param service the service whose engines can run it
     * @param softwareVersion the software version of the engines that can run it; empty for any
     * @param program the program that it belongs to; empty for none
     * @param affinityKey the key of requests that should go to the same engine
     * @param previousServer the id of the engine that ran the previous turn; empty if unknown
     * @param triedServers the ids of engines that have failed or rejected it
     * @param continuesTurn whether it continues an earlier turn or stream
     * @param rank the urgency rank of its route; 0 is the most urgent
     * @param latestStartMs the latest time at which it can start, in ms
     * @param programDeadlineMs when its program should be finished, in ms
     * @param customer the customer that it belongs to; empty for none
     * @param tokens the engine memory that it can hold at its end, in tokens; 0 if not known
     */
    public EngineRequest(
            String service,
            String softwareVersion,
            String program,
            String affinityKey,
            String previousServer,
            Set<String> triedServers,
            boolean continuesTurn,
            int rank,
            long latestStartMs,
            long programDeadlineMs,
            Optional<CustomerId> customer,
            long tokens) {
        this(
                service,
                softwareVersion,
                program,
                affinityKey,
                previousServer,
                triedServers,
                continuesTurn,
                rank,
                latestStartMs,
                programDeadlineMs,
                customer,
                tokens,
                List.of());
    }
}
