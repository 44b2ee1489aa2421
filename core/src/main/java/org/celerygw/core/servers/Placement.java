package org.celerygw.core.servers;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What decides where a request may be placed.
 *
 * @param affinityKey the key of requests that should go to the same server, for example the program's id
 * @param previousServer the id of the server that ran the previous turn; empty if unknown
 * @param excludedIds ids of servers that must not be selected
 * @param tokens the engine memory that the request can hold at its end, in tokens; 0 if not known
 * @param sharedParts the parts of the prompt that other requests share, in their order
 */
public record Placement(
        String affinityKey, String previousServer, Set<String> excludedIds, long tokens, List<PromptPart> sharedParts) {
    /** Copies the list of parts. */
    public Placement {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Creates a placement without shared parts of the prompt.
     *
     * @param affinityKey the key of requests that should go to the same server, for example the program's id
     * @param previousServer the id of the server that ran the previous turn; empty if unknown
     * @param excludedIds ids of servers that must not be selected
     * @param tokens the engine memory that the request can hold at its end, in tokens; 0 if not known
     */
    public Placement(String affinityKey, String previousServer, Set<String> excludedIds, long tokens) {
        this(affinityKey, previousServer, excludedIds, tokens, List.of());
    }

    /**
     * Excludes further servers.
     *
     * @param ids the ids of the servers
     * @return the placement without them
     */
    public Placement excluding(Set<String> ids) {
        Set<String> all = new HashSet<>(excludedIds);
        all.addAll(ids);
        return new Placement(affinityKey, previousServer, all, tokens, sharedParts);
    }
}
