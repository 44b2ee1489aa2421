package org.celerygw.core.routes;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and how they are treated.
 *
 * @param name the route's name
 * @param host the host it belongs to, in lower case and without a port
 * @param prefix what the path begins with; begins and ends with a slash
 * @param kind what may be repeated
 * @param targets the services, with their weights
 * @param timeoutMs the longest time a client is kept waiting
 * @param targetLatencyMs the time within which an answer is worth most
 * @param rank the urgency; 0 is the most urgent
 * @param maxAttempts how many backend servers may run one attempt of a client
 * @param sticky whether requests about the same thing are better kept at the same server
 * @param resumable whether a broken stream may go on at another server
 * @param keepsTurns whether the history of turns is kept and put before each new input
 * @param retentionMs how long turns stay known after their end
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<Target> targets,
        long timeoutMs,
        long targetLatencyMs,
        int rank,
        int maxAttempts,
        boolean sticky,
        boolean resumable,
        boolean keepsTurns,
        long retentionMs) {
    /** Copies the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /**
     * One service that a route may send to.
     *
     * @param service the service's name
     * @param weight its share in relation to the other weights
     */
    public record Target(String service, double weight) {}

    /**
     * Returns whether a request may run again after a failure.
     *
     * @return true for safe requests and resumable streams
     */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive), the same for the same thing
     * @return the service's name; empty when no target has weight
     */
    public String service(double draw) {
        double sum = targets.stream().mapToDouble(Target::weight).sum();
        double left = draw * sum;
        for (Target target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.isEmpty() ? "" : targets.get(targets.size() - 1).service();
    }
}
