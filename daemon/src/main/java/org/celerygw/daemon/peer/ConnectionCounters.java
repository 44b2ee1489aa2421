package org.celerygw.daemon.peer;

import java.util.concurrent.atomic.LongAdder;

/** Event counters shared by all connections between daemons; {@link PeerCounters} is a snapshot of them. */
final class ConnectionCounters {
    final LongAdder authenticatedConnections = new LongAdder();
    final LongAdder heartbeatTimeouts = new LongAdder();
    final LongAdder rejectedConnections = new LongAdder();
    final LongAdder strayFrames = new LongAdder();
    final LongAdder slowReaderFailures = new LongAdder();

    PeerCounters snapshot() {
        return new PeerCounters(
                authenticatedConnections.sum(),
                heartbeatTimeouts.sum(),
                rejectedConnections.sum(),
                strayFrames.sum(),
                slowReaderFailures.sum());
    }
}
