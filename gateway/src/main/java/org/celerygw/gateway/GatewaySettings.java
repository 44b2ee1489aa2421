package org.celerygw.gateway;

import java.util.List;

/**
 * What a host of the gateway has to know of itself.
 *
 * @param host the host's name
 * @param zone its availability zone
 * @param clients where clients connect
 * @param ready where the balancer asks whether the host is ready
 * @param metricsPort where metrics are served, on the clients' ip; 0 for nowhere
 * @param peersPort where other hosts connect and send datagrams, on the clients' ip
 * @param seeds hosts to tell of this one at the start; may be stale
 * @param graceMs how long a stop may take
 * @param partitions into how many partitions of the store the programs are spread; never changes
 * @param rowBytes the most bytes of a row's value
 */
public record GatewaySettings(
        String host,
        String zone,
        Address clients,
        Address ready,
        int metricsPort,
        int peersPort,
        List<Address> seeds,
        long graceMs,
        int partitions,
        int rowBytes) {
    /** Copies the list. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Where to listen or connect.
     *
     * @param ip the address
     * @param port the port
     */
    public record Address(String ip, int port) {}
}
