package org.celerygw.core.turns;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** An update of one program's rows that waits to be written. */
final class PendingUpdate {
    /** What an update does. */
    enum Kind {
        /** Reserves tokens for a turn. */
        RESERVATION,
        /** Settles a turn, and records where its stream began if the client has received events. */
        SETTLEMENT,
        /** Records where a turn's stream begins, before the client receives its first event. */
        STREAM_VERSION
    }

    final Kind kind;
    final String turn;
    final String reservationName;
    final long tokens;
    final long budgetTokens;
    final @Nullable StoredTurn storedTurn;
    final long deadlineMs;
    final long retentionMs;
    final String softwareVersion;
    private @Nullable Consumer<UpdateResult> callback;
    boolean writeAttempted;
    boolean abandoned;

    private PendingUpdate(
            Kind kind,
            String turn,
            String reservationName,
            long tokens,
            long budgetTokens,
            @Nullable StoredTurn storedTurn,
            long deadlineMs,
            long retentionMs,
            String softwareVersion,
            Consumer<UpdateResult> callback) {
        this.kind = kind;
        this.turn = turn;
        this.reservationName = reservationName;
        this.tokens = tokens;
        this.budgetTokens = budgetTokens;
        this.storedTurn = storedTurn;
        this.deadlineMs = deadlineMs;
        this.retentionMs = retentionMs;
        this.softwareVersion = softwareVersion;
        this.callback = callback;
    }

    static PendingUpdate reservation(Reservation requested, long deadlineMs, Consumer<UpdateResult> callback) {
        return new PendingUpdate(
                Kind.RESERVATION,
                ProgramRowKeys.safeId(requested.turn()),
                ProgramRowKeys.safeId(requested.turn()),
                requested.maxTokens(),
                requested.budgetTokens(),
                null,
                deadlineMs,
                requested.retentionMs(),
                requested.softwareVersion(),
                callback);
    }

    static PendingUpdate settlement(
            String turn,
            String reservationName,
            long tokens,
            String softwareVersion,
            @Nullable StoredTurn storedTurn,
            long deadlineMs,
            Consumer<UpdateResult> callback) {
        return new PendingUpdate(
                Kind.SETTLEMENT,
                turn,
                reservationName,
                tokens,
                0,
                storedTurn,
                deadlineMs,
                0,
                softwareVersion,
                callback);
    }

    static PendingUpdate streamVersion(
            String turn, String softwareVersion, long retentionMs, long deadlineMs, Consumer<UpdateResult> callback) {
        return new PendingUpdate(
                Kind.STREAM_VERSION, turn, turn, 0, 0, null, deadlineMs, retentionMs, softwareVersion, callback);
    }

    boolean isReservation() {
        return kind == Kind.RESERVATION;
    }

    /** Calls the callback with the result; does nothing if it was called before. */
    void complete(UpdateResult result) {
        Consumer<UpdateResult> pendingCallback = callback;
        callback = null;
        if (pendingCallback != null) {
            abandoned = isReservation() && result == UpdateResult.UNAVAILABLE;
            pendingCallback.accept(result);
        }
    }

    int historyBytes() {
        return storedTurn == null ? 0 : storedTurn.input().length + storedTurn.output().length;
    }
}
