package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.celerygw.core.store.Txn;

/** One transaction in the making. */
final class Draft {
    private static final int TURNS_OF_ROOM = 3;
    private static final int MOST_AHEAD = 2;

    private final ProgramEntry entry;
    private final int rowBytes;
    private final long nowMs;
    final Budget budget;
    final List<Wish> wishes = new ArrayList<>();
    final List<Wish> spent = new ArrayList<>();
    private final List<Txn.Change> changes = new ArrayList<>();
    private final List<String> spares = new ArrayList<>();
    boolean changed;
    int bytes;

    Draft(ProgramEntry entry, int rowBytes, long nowMs) {
        this.entry = entry;
        this.rowBytes = rowBytes;
        this.nowMs = nowMs;
        this.budget = entry.budget.copy();
    }

    /** Adds a wish; returns false when the budget does not hold it. */
    boolean take(Wish wish) {
        if (wish.reserves && !budget.isOpen(wish.turn)) {
            if (!budget.fits(wish.tokens, wish.budgetTokens)) {
                return false;
            }
            budget.open(wish.turn, wish.tokens);
            budget.keepUntil(nowMs + wish.keepMs);
            changed = true;
        } else if (!wish.reserves && settles(wish)) {
            if (wish.kept != null) {
                changes.addAll(TurnRows.write(entry.program, wish.turn, wish.kept, rowBytes));
            }
            budget.keepUntil(nowMs + entry.keepMs);
            changed = true;
        }
        bytes += wish.bytes();
        wishes.add(wish);
        return true;
    }

    /** Settles a wish; returns false when that was done before, by a write of which no answer came. */
    private boolean settles(Wish wish) {
        if (budget.settle(wish.reservation, wish.tokens)) {
            return true;
        }
        // Never written, yet not open: the program's rows were removed meanwhile. What was said is kept all the same.
        return !wish.written && wish.kept != null;
    }

    /** Reserves ahead for the program's next turns, where the budget has room for more turns than that. */
    void reserveAhead(Supplier<String> names) {
        while (changed
                && budget.ahead() < MOST_AHEAD
                && budget.fits(TURNS_OF_ROOM * entry.maxTokens, entry.budgetTokens)) {
            String name = names.get();
            budget.open(name, entry.maxTokens);
            spares.add(name);
        }
    }

    /** Returns the names of the reservations made ahead. */
    List<String> spares() {
        return spares;
    }

    Txn txn() {
        String key = Keys.program(entry.program);
        ByteString value = budget.bytes();
        List<Txn.Change> all = new ArrayList<>(changes);
        all.add(Txn.Change.put(key, value));
        if (entry.version <= 0) {
            all.add(Txn.Change.put(Keys.expiry(budget.keepUntilMs(), entry.program), ByteString.EMPTY));
        }
        return new Txn(List.of(new Txn.Condition(key, Math.max(0, entry.version))), all);
    }

    void putBack(ProgramEntry to) {
        for (int i = wishes.size() - 1; i >= 0; i--) {
            to.wishes.addFirst(wishes.get(i));
        }
    }
}
