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
        int maxRowBytes) {
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
}
