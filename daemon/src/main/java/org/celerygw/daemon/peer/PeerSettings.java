package org.celerygw.daemon.peer;

import org.celerygw.core.helper.Check;

/**
 * Limits and time-outs of connections between daemons. A silent connection is detected within {@code silenceMs +
 * heartbeatMs}.
 *
 * @param threads number of event loops, shared by all connections
 * @param connectTimeoutMs maximum time of the TCP connect, and again of the authentication
 * @param heartbeatMs interval between pings
 * @param silenceMs time without a pong after which a connection is closed
 * @param maxFrameBytes maximum size of a frame
 * @param windowBytes flow-control window of a stream: maximum bytes of chunks in flight
 * @param maxQueuedBytes maximum bytes of chunks that may be queued for a slow reader of one stream
 * @param maxStreams maximum number of concurrent calls on a connection
 * @param maxPendingBytes maximum bytes of requests waiting to be sent over one connection
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
    /** Default limits: 16 MiB frames, 64 KiB windows, 1 MiB queued per stream, 32 MiB pending per connection. */
    public static final PeerSettings DEFAULTS =
            new PeerSettings(2, 2000, 1000, 3000, 16 << 20, 64 << 10, 1 << 20, 4096, 32 << 20);

    /**
     * Validates the values.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if a value is out of range
     */
    public PeerSettings {
        Check.that(
                threads > 0 && connectTimeoutMs > 0 && heartbeatMs > 0,
                "threads, connectTimeoutMs and heartbeatMs must be positive");
        Check.that(silenceMs > heartbeatMs, "silenceMs must exceed heartbeatMs");
        Check.that(maxFrameBytes >= 1024 && windowBytes >= 1024, "maxFrameBytes and windowBytes must be at least 1024");
        Check.that(
                maxQueuedBytes >= windowBytes && maxPendingBytes >= 1024,
                "maxQueuedBytes must be at least windowBytes, and maxPendingBytes at least 1024");
        Check.that(maxStreams > 0, "maxStreams must be positive");
    }
}
