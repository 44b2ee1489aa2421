package org.celerygw.daemon.peer;

/**
 * Event counts of the connections between daemons since this daemon started.
 *
 * @param authenticatedConnections incoming and outgoing connections whose peer proved an accepted key
 * @param heartbeatTimeouts connections closed because the peer did not answer pings
 * @param rejectedConnections connections closed because the peer proved no accepted key or violated the protocol
 * @param strayFrames frames dropped because their stream had ended or was never opened
 * @param slowReaderFailures calls failed because the caller read the response too slowly
 */
public record PeerCounters(
        long authenticatedConnections,
        long heartbeatTimeouts,
        long rejectedConnections,
        long strayFrames,
        long slowReaderFailures) {}
