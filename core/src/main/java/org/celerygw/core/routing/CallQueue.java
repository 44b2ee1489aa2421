package org.celerygw.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The calls that wait to be started, indexed by queue order, deadline and ticket. */
final class CallQueue {
    private static final int COUNTED_RANKS = 16;
    private static final Comparator<QueuedCall> BY_DEADLINE = Comparator.<QueuedCall>comparingLong(
                    call -> call.item().deadlineMs())
            .thenComparingLong(call -> call.item().ticket());

    private final TreeSet<QueuedCall> byOrder = new TreeSet<>(QueuedCall.QUEUE_ORDER);
    private final TreeSet<QueuedCall> byDeadline = new TreeSet<>(BY_DEADLINE);
    private final Map<Long, QueuedCall> byTicket = new HashMap<>();
    private final int[] callsPerRank = new int[COUNTED_RANKS];

    void add(QueuedCall call) {
        byOrder.add(call);
        byDeadline.add(call);
        byTicket.put(call.item().ticket(), call);
        callsPerRank[rankIndex(call)]++;
    }

    void remove(QueuedCall call) {
        byOrder.remove(call);
        removeFromIndexes(call);
    }

    /** Removes the call that an iterator from {@link #inOrder()} returned last. */
    void remove(Iterator<QueuedCall> iterator, QueuedCall call) {
        iterator.remove();
        removeFromIndexes(call);
    }

    private void removeFromIndexes(QueuedCall call) {
        byDeadline.remove(call);
        byTicket.remove(call.item().ticket());
        callsPerRank[rankIndex(call)]--;
    }

    private static int rankIndex(QueuedCall call) {
        return Math.min(COUNTED_RANKS - 1, call.rank());
    }

    Iterator<QueuedCall> inOrder() {
        return byOrder.iterator();
    }

    @Nullable
    QueuedCall get(long ticket) {
        return byTicket.get(ticket);
    }

    @Nullable
    QueuedCall last() {
        return byOrder.isEmpty() ? null : byOrder.last();
    }

    @Nullable
    QueuedCall firstExpired(long nowMs) {
        boolean hasExpired = !byDeadline.isEmpty() && byDeadline.first().item().deadlineMs() <= nowMs;
        return hasExpired ? byDeadline.first() : null;
    }

    /** Returns the number of queued calls of this rank or a better one. */
    int countUpToRank(int rank) {
        int calls = 0;
        for (int r = 0; r <= Math.min(rank, COUNTED_RANKS - 1); r++) {
            calls += callsPerRank[r];
        }
        return calls;
    }

    int size() {
        return byOrder.size();
    }
}
