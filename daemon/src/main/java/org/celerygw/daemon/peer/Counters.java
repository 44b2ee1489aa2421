package org.celerygw.daemon.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts events of all connections. */
final class Counters {
    final LongAdder connected = new LongAdder();
    final LongAdder silent = new LongAdder();
    final LongAdder rejected = new LongAdder();
    final LongAdder strayFrames = new LongAdder();
    final LongAdder slowReaders = new LongAdder();

    PeerCounters snapshot() {
        return new PeerCounters(connected.sum(), silent.sum(), rejected.sum(), strayFrames.sum(), slowReaders.sum());
    }
}
