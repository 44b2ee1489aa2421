package org.celerygw.core.routes;

/**
 * What the configuration says of a service.
 *
 * @param name the service's name
 * @param maxConnections connections that one of its servers accepts from all callers together
 * @param generates whether its servers are model engines
 * @param slots requests that an engine runs at once; 0 for other services
 * @param tokensPerEvent tokens that each event of an engine's stream counts for
 */
public record Service(String name, int maxConnections, boolean generates, int slots, int tokensPerEvent) {}
