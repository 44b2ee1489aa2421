package org.celerygw.core.routing;

import java.util.Comparator;

/** A call in the queue. The lower its {@code orderMs}, the earlier it is started. */
record QueuedCall(WorkItem item, int rank, long offeredAtMs, long orderMs) {
    /** Compares by {@code orderMs}, then by ticket. */
    static final Comparator<QueuedCall> QUEUE_ORDER = Comparator.comparingLong(QueuedCall::orderMs)
            .thenComparingLong(call -> call.item().ticket());
}
