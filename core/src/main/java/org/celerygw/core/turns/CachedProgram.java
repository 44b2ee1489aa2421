package org.celerygw.core.turns;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;

/** A program as this host caches it: the contents of its rows, and the updates that wait to be written. */
final class CachedProgram {
    static final long UNKNOWN_VERSION = -1;

    final String safeId;
    final int partition;
    final Table table;
    final Deque<PendingUpdate> pendingUpdates = new ArrayDeque<>();
    final Map<String, StoredTurn> turns = new HashMap<>();
    final List<Consumer<Boolean>> loadCallbacks = new ArrayList<>();
    final AdvanceReservations advanceReservations = new AdvanceReservations();
    Budget budget = new Budget();
    long version = UNKNOWN_VERSION;
    boolean callInFlight;
    long historyBytes;
    long retentionMs;
    long maxTokens;
    long budgetTokens;

    /** The software version at which the program's last resumable stream at this host began; empty for none. */
    String softwareVersion = "";

    CachedProgram(String safeId, int partition, Table table) {
        this.safeId = safeId;
        this.partition = partition;
        this.table = table;
    }

    boolean isIdle() {
        return pendingUpdates.isEmpty() && !callInFlight && loadCallbacks.isEmpty() && advanceReservations.isIdle();
    }

    /**
     * Records the limits that a turn requests. Advance reservations use them, since later turns of the same program
     * rarely request more.
     */
    void recordDemand(Reservation reservation) {
        retentionMs = Math.max(retentionMs, reservation.retentionMs());
        maxTokens = Math.max(maxTokens, reservation.maxTokens());
        budgetTokens = reservation.budgetTokens();
        if (!reservation.softwareVersion().isEmpty()) {
            softwareVersion = reservation.softwareVersion();
        }
    }

    void applyRow(Row row, long nowMs) {
        // First: a version that is kept without its budget would let the next write replace a row that was not read.
        budget = Budget.parse(row);
        version = row.version();
        advanceReservations.reconcile(budget, nowMs);
    }

    void cacheTurn(String turn, StoredTurn storedTurn) {
        if (turns.put(turn, storedTurn) == null) {
            historyBytes += storedTurn.input().length + storedTurn.output().length;
        }
    }
}
