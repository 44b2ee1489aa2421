package org.celerygw.gateway;

import java.util.List;

/**
 * The settings of one gateway host.
 *
 * @param host the host's unique name
 * @param zone the host's availability zone
 * @param clientAddress the address on which client connections are accepted
 * @param readinessAddress the address on which the load balancer's readiness probes are answered
 * @param metricsPort the port on which metrics are served, on the IP address for clients; 0 disables it
 * @param peerPort the TCP and UDP port for connections and datagrams of other hosts, on the IP address for clients
 * @param seeds addresses of other hosts to which this host announces itself at startup; may be stale
 * @param stopGraceMs the maximum duration of a graceful stop, in ms
 * @param partitions the number of store partitions over which programs are distributed; must never change
 * @param maxRowBytes the maximum size of a row's value, in bytes
 * @param memoryMb how much memory the process may use, in MB
 * @param customerBounds how closely the keys and quotas of customers are enforced
 * @param limitsEngineMemory whether an engine fails when its requests exceed its memory, so that placements count it;
 *     other engines preempt requests instead
 */
public record GatewaySettings(
        String host,
        String zone,
        Address clientAddress,
        Address readinessAddress,
        int metricsPort,
        int peerPort,
        List<Address> seeds,
        long stopGraceMs,
        int partitions,
        int maxRowBytes,
        int memoryMb,
        CustomerBounds customerBounds,
        boolean limitsEngineMemory) {
    /** Makes a defensive copy of the seeds. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * An address on which to listen or to which to connect.
     *
     * @param ip the IP address in text form
     * @param port the port; 0 for any free one when listening
     */
    public record Address(String ip, int port) {}

    /**
     * How closely the keys and quotas of customers are enforced.
     *
     * @param quotaWindowMs the sliding window in which a quota is checked, in ms
     * @param quotaOverage the share by which a quota may be exceeded within a window
     * @param quotaSlack the number of requests by which it may be exceeded besides
     * @param revokeMs how long a host may go on without a confirmed configuration, in ms
     * @param strictRevocation whether a host that cannot confirm its configuration for that long refuses requests with a
     *     key
     */
    public record CustomerBounds(
            long quotaWindowMs, double quotaOverage, double quotaSlack, long revokeMs, boolean strictRevocation) {
        /** The bounds of a deployment that names none. */
        public static final CustomerBounds DEFAULT = new CustomerBounds(5_000, 0.1, 20, 5_000, false);
    }
}
