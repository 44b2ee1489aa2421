package org.celerygw.core.turns;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** An update of one program's rows that waits to be written: a reservation or a settlement. */
final class PendingUpdate {
    final boolean isReservation;
    final String turn;
    final String reservationName;
    final long tokens;
    final long budgetTokens;
    final @Nullable StoredTurn storedTurn;
    final long deadlineMs;
    final long retentionMs;
    private @Nullable Consumer<UpdateResult> callback;
    boolean writeAttempted;
    boolean abandoned;

    private PendingUpdate(
            boolean isReservation,
            String turn,
            String reservationName,
            long tokens,
            long budgetTokens,
            @Nullable StoredTurn storedTurn,
            long deadlineMs,
            long retentionMs,
            Consumer<UpdateResult> callback) {
        this.isReservation = isReservation;
        this.turn = turn;
        this.reservationName = reservationName;
        this.tokens = tokens;
        this.budgetTokens = budgetTokens;
        this.storedTurn = storedTurn;
        this.deadlineMs = deadlineMs;
        this.retentionMs = retentionMs;
        this.callback = callback;
    }

    static PendingUpdate reservation(Reservation requested, long deadlineMs, Consumer<UpdateResult> callback) {
        return new PendingUpdate(
                true,
                ProgramRowKeys.safeId(requested.turn()),
                ProgramRowKeys.safeId(requested.turn()),
                requested.maxTokens(),
                requested.budgetTokens(),
                null,
                deadlineMs,
                requested.retentionMs(),
                callback);
    }

    static PendingUpdate settlement(
            String turn,
            String reservationName,
            long tokens,
            @Nullable StoredTurn storedTurn,
            long deadlineMs,
            Consumer<UpdateResult> callback) {
        return new PendingUpdate(false, turn, reservationName, tokens, 0, storedTurn, deadlineMs, 0, callback);
    }

    /** Calls the callback with the result; does nothing if it was called before. */
    void complete(UpdateResult result) {
        Consumer<UpdateResult> pendingCallback = callback;
        callback = null;
        if (pendingCallback != null) {
            abandoned = isReservation && result == UpdateResult.UNAVAILABLE;
            pendingCallback.accept(result);
        }
    }

    int historyBytes() {
        return storedTurn == null ? 0 : storedTurn.input().length + storedTurn.output().length;
    }
}
