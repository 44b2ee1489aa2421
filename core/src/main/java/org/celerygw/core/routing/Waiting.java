package org.celerygw.core.routing;

import java.util.Comparator;

/** A call in the queue, with its place in the order. */
record Waiting(WorkItem item, int rank, long offeredMs, long orderMs) {
    /** Earlier order first; the ticket decides between equals. */
    static final Comparator<Waiting> ORDER = Comparator.comparingLong(Waiting::orderMs)
            .thenComparingLong(w -> w.item().ticket());
}
