package org.celerygw.core.routes;

import java.util.List;

/**
 * Where the requests with one host and path prefix are forwarded to, and how they are handled.
 *
 * @param name the route's name
 * @param host the host of the requests, in lower case and without a port
 * @param prefix the path prefix; starts and ends with a slash
 * @param kind the kind of requests, which determines what may be retried
 * @param targets the services that the requests are distributed over, with their weights
 * @param timeoutMs the maximum time that a client waits for its response, in ms
 * @param targetLatencyMs the target for the response time, in ms
 * @param rank the urgency rank; 0 is the most urgent
 * @param maxAttempts how many backend servers one client attempt may be sent to
 * @param sticky whether requests with the same affinity key should go to the same server
 * @param resumable whether a broken stream may be resumed at another server
 * @param storesTurns whether turns are stored and the history of a turn's chain is put before its input
 * @param retentionMs how long stored turns are retained after their end, in ms
 * @param open whether requests need no key, even if the configuration names customers
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
        boolean storesTurns,
        long retentionMs,
        boolean open) {
    /** Copies the list of targets. */
    public Route {
        targets = List.copyOf(targets);
    }

    /**
     * A service that a route forwards requests to.
     *
     * @param service the service's name
     * @param weight its share of the requests, relative to the other weights
     */
    public record Target(String service, double weight) {}

    /**
     * Returns whether a request may be retried after a failure.
     *
     * @return true for safe requests and resumable streams
     */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
    }

    /**
     * Selects the service for a request, according to the weights.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive); equal numbers select the same service
     * @return the service's name; empty if the route has no targets
     */
    public String selectService(double draw) {
        double totalWeight = targets.stream().mapToDouble(Target::weight).sum();
        double remaining = draw * totalWeight;
        for (Target target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.isEmpty() ? "" : targets.get(targets.size() - 1).service();
    }
}
