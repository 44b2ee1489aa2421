package org.celerygw.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The waiting calls, by their order and by their deadline. */
final class Queue {
    private static final int RANKS = 16;
    private static final Comparator<Waiting> BY_DEADLINE = Comparator.<Waiting>comparingLong(
                    w -> w.item().deadlineMs())
            .thenComparingLong(w -> w.item().ticket());

    private final TreeSet<Waiting> byOrder = new TreeSet<>(Waiting.ORDER);
    private final TreeSet<Waiting> byDeadline = new TreeSet<>(BY_DEADLINE);
    private final Map<Long, Waiting> byTicket = new HashMap<>();
    private final int[] perRank = new int[RANKS];

    void add(Waiting w) {
        byOrder.add(w);
        byDeadline.add(w);
        byTicket.put(w.item().ticket(), w);
        perRank[slot(w)]++;
    }

    void remove(Waiting w) {
        byOrder.remove(w);
        forget(w);
    }

    /** Removes the call that the iterator over {@link #inOrder()} gave last. */
    void remove(Iterator<Waiting> at, Waiting w) {
        at.remove();
        forget(w);
    }

    private void forget(Waiting w) {
        byDeadline.remove(w);
        byTicket.remove(w.item().ticket());
        perRank[slot(w)]--;
    }

    private static int slot(Waiting w) {
        return Math.min(RANKS - 1, w.rank());
    }

    Iterator<Waiting> inOrder() {
        return byOrder.iterator();
    }

    @Nullable
    Waiting get(long ticket) {
        return byTicket.get(ticket);
    }

    @Nullable
    Waiting last() {
        return byOrder.isEmpty() ? null : byOrder.last();
    }

    @Nullable
    Waiting expired(long nowMs) {
        boolean late = !byDeadline.isEmpty() && byDeadline.first().item().deadlineMs() <= nowMs;
        return late ? byDeadline.first() : null;
    }

    /** Returns how many calls of this rank or a better one wait. */
    int atOrBefore(int rank) {
        int sum = 0;
        for (int r = 0; r <= Math.min(rank, RANKS - 1); r++) {
            sum += perRank[r];
        }
        return sum;
    }

    int size() {
        return byOrder.size();
    }
}
