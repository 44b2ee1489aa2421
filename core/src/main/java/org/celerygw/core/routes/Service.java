package org.celerygw.core.routes;

/**
 * A service as configured.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that each of its servers accepts from all clients together
 * @param runsEngines whether its servers are model engines
 * @param slots the maximum number of requests that an engine runs concurrently; 0 for other services
 * @param tokensPerEvent the number of tokens that each event of an engine's stream counts as
 * @param memoryTokens how many tokens of prompts and outputs an engine holds at once; 0 if not known
 */
public record Service(
        String name, int maxConnections, boolean runsEngines, int slots, int tokensPerEvent, int memoryTokens) {
    Service withoutMemory() {
        return new Service(name, maxConnections, runsEngines, slots, tokensPerEvent, 0);
    }
}
