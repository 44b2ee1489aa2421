package org.celerygw.daemon.peer;

import org.celerygw.core.helper.Check;

/**
 * The limits of connections between daemons. A silent connection is found within {@code silenceMs + heartbeatMs}.
 *
 * @param threads how many event loops serve all connections
 * @param connectTimeoutMs how long connecting may take, and again the exchange of proofs
 * @param heartbeatMs a ping is sent this often
 * @param silenceMs a connection whose pings stay unanswered this long is dropped
 * @param maxFrameBytes the longest frame
 * @param windowBytes how many bytes of chunks one stream may have under way
 * @param maxQueuedBytes how many bytes of chunks may wait for a slow reader of one stream
 * @param maxStreams how many calls one connection carries at once
 * @param maxPendingBytes how many bytes of requests may wait for one connection
 */
public record PeerSettings(
        int threads,
        int connectTimeoutMs,
        long heartbeatMs,
        long silenceMs,
        int maxFrameBytes,
        int windowBytes,
        int maxQueuedBytes,
        int maxStreams,
        int maxPendingBytes) {
    /** The usual limits. */
    public static final PeerSettings DEFAULTS =
            new PeerSettings(2, 2000, 1000, 3000, 16 << 20, 64 << 10, 1 << 20, 4096, 32 << 20);

    /**
     * Checks the values.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public PeerSettings {
        Check.that(threads > 0 && connectTimeoutMs > 0 && heartbeatMs > 0, "threads and times must be positive");
        Check.that(silenceMs > heartbeatMs, "silenceMs must exceed heartbeatMs");
        Check.that(maxFrameBytes >= 1024 && windowBytes >= 1024, "sizes must be at least 1024 bytes");
        Check.that(maxQueuedBytes >= windowBytes && maxPendingBytes >= 1024, "queues must hold a window");
        Check.that(maxStreams > 0, "maxStreams must be positive");
    }
}
