package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.celerygw.core.store.Txn;

/** Collects pending updates of one program and builds the transaction that writes them. */
final class UpdateBatch {
    /** Advance reservations are made only if the budget has room for this many more turns. */
    private static final int MIN_ROOM_TURNS = 3;

    private static final int MAX_ADVANCE_RESERVATIONS = 2;

    private final CachedProgram program;
    private final int rowBytes;
    private final long nowMs;
    final Budget budget;
    final List<PendingUpdate> updates = new ArrayList<>();
    final List<PendingUpdate> overBudget = new ArrayList<>();
    private final List<Txn.Change> changes = new ArrayList<>();
    private final List<String> advanceReservationNames = new ArrayList<>();
    boolean hasChanges;
    int historyBytes;

    UpdateBatch(CachedProgram program, int rowBytes, long nowMs) {
        this.program = program;
        this.rowBytes = rowBytes;
        this.nowMs = nowMs;
        this.budget = program.budget.copy();
    }

    /** Adds an update; returns false, without adding it, if it is a reservation that exceeds the budget. */
    boolean tryAdd(PendingUpdate update) {
        switch (update.kind) {
            case RESERVATION -> {
                if (!budget.isOpen(update.turn) && !budget.fits(update.tokens, update.budgetTokens)) {
                    return false;
                }
                reserve(update);
            }
            case SETTLEMENT -> {
                if (settle(update)) {
                    addSettlement(update);
                }
            }
            case STREAM_VERSION -> {
                if (budget.recordStream(update.turn, update.softwareVersion)) {
                    budget.extendRetention(nowMs + update.retentionMs);
                    hasChanges = true;
                }
            }
        }
        historyBytes += update.historyBytes();
        updates.add(update);
        return true;
    }

    private void reserve(PendingUpdate update) {
        if (!budget.isOpen(update.turn)) {
            budget.reserve(update.turn, update.tokens, update.softwareVersion);
            budget.extendRetention(nowMs + update.retentionMs);
            hasChanges = true;
        }
    }

    private void addSettlement(PendingUpdate update) {
        if (update.storedTurn != null) {
            changes.addAll(TurnRowCodec.encode(program.safeId, update.turn, update.storedTurn, rowBytes));
        }
        if (!update.softwareVersion.isEmpty()) {
            budget.recordStream(update.turn, update.softwareVersion);
        }
        budget.extendRetention(nowMs + program.retentionMs);
        hasChanges = true;
    }

    /**
     * Settles a turn in the budget. Returns whether the batch must write it: false if an earlier write took effect
     * although its response was lost, or if the program's rows were removed and the turn has no history to store.
     */
    private boolean settle(PendingUpdate update) {
        if (budget.settle(update.reservationName, update.tokens)) {
            return true;
        }
        // No write was attempted, yet the turn is not open: the program's rows were removed after the reservation.
        // The turn is stored all the same.
        return !update.writeAttempted && update.storedTurn != null;
    }

    /**
     * Adds advance reservations for the program's next turns, as long as the budget has room for more turns than that.
     */
    void reserveAhead(Supplier<String> names) {
        while (hasChanges
                && program.budgetTokens > 0
                && budget.advanceReservations() < MAX_ADVANCE_RESERVATIONS
                && budget.fits(MIN_ROOM_TURNS * program.maxTokens, program.budgetTokens)) {
            String name = names.get();
            budget.reserve(name, program.maxTokens, program.softwareVersion);
            advanceReservationNames.add(name);
        }
    }

    /** Returns the names of the advance reservations that this batch makes. */
    List<String> advanceReservationNames() {
        return advanceReservationNames;
    }

    /** Returns the transaction, conditional on the version of the program's row. */
    Txn toTxn() {
        String key = ProgramRowKeys.programRow(program.safeId);
        ByteString value = budget.toRowValue();
        List<Txn.Change> all = new ArrayList<>(changes);
        all.add(Txn.Change.put(key, value));
        if (program.version <= 0) {
            all.add(Txn.Change.put(ProgramRowKeys.expiryRow(budget.keepUntilMs(), program.safeId), ByteString.EMPTY));
        }
        return new Txn(List.of(new Txn.Condition(key, Math.max(0, program.version))), all);
    }

    /** Puts the updates back to the head of the queue, in their original order. */
    void requeue(CachedProgram target) {
        for (int i = updates.size() - 1; i >= 0; i--) {
            target.pendingUpdates.addFirst(updates.get(i));
        }
    }
}
