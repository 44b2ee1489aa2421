package org.celerygw.core.turns;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** A change to one program's rows that waits to be written. */
final class Wish {
    final boolean reserves;
    final String turn;
    final String reservation;
    final long tokens;
    final long budgetTokens;
    final @Nullable KeptTurn kept;
    final long untilMs;
    final long keepMs;
    private @Nullable Consumer<Grant> done;
    boolean written;
    boolean abandoned;

    private Wish(
            boolean reserves,
            String turn,
            String reservation,
            long tokens,
            long budgetTokens,
            @Nullable KeptTurn kept,
            long untilMs,
            long keepMs,
            Consumer<Grant> done) {
        this.reserves = reserves;
        this.turn = turn;
        this.reservation = reservation;
        this.tokens = tokens;
        this.budgetTokens = budgetTokens;
        this.kept = kept;
        this.untilMs = untilMs;
        this.keepMs = keepMs;
        this.done = done;
    }

    static Wish reserve(Reservation wanted, long untilMs, Consumer<Grant> done) {
        return new Wish(
                true,
                Keys.safe(wanted.turn()),
                Keys.safe(wanted.turn()),
                wanted.maxTokens(),
                wanted.budgetTokens(),
                null,
                untilMs,
                wanted.keepMs(),
                done);
    }

    static Wish settle(
            String turn, String reservation, long tokens, @Nullable KeptTurn kept, long untilMs, Consumer<Grant> done) {
        return new Wish(false, turn, reservation, tokens, 0, kept, untilMs, 0, done);
    }

    /** Tells the asker, once. */
    void end(Grant grant) {
        Consumer<Grant> asker = done;
        done = null;
        if (asker != null) {
            abandoned = reserves && grant == Grant.UNAVAILABLE;
            asker.accept(grant);
        }
    }

    int bytes() {
        return kept == null ? 0 : kept.input().length + kept.output().length;
    }
}
