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

/** What this host remembers of a program; only a cache of its rows, besides the wishes that wait. */
final class ProgramEntry {
    static final long UNKNOWN = -1;

    final String program;
    final int partition;
    final Table table;
    final Deque<Wish> wishes = new ArrayDeque<>();
    final Map<String, KeptTurn> turns = new HashMap<>();
    final List<Consumer<Boolean>> loading = new ArrayList<>();
    final Spares spares = new Spares();
    Budget budget = new Budget();
    long version = UNKNOWN;
    boolean writing;
    long bytes;
    long keepMs;
    long maxTokens;
    long budgetTokens;

    ProgramEntry(String program, int partition, Table table) {
        this.program = program;
        this.partition = partition;
        this.table = table;
    }

    boolean idle() {
        return wishes.isEmpty() && !writing && loading.isEmpty() && spares.idle();
    }

    /** Notes what a turn asks for; the next one of this program will ask for no more, mostly. */
    void asked(Reservation wanted) {
        keepMs = Math.max(keepMs, wanted.keepMs());
        maxTokens = Math.max(maxTokens, wanted.maxTokens());
        budgetTokens = wanted.budgetTokens();
    }

    void adopt(Row row, long nowMs) {
        version = row.version();
        budget = row.exists() ? Budget.parse(row.value()) : new Budget();
        spares.compare(budget, nowMs);
    }

    void remember(String turn, KeptTurn kept) {
        if (turns.put(turn, kept) == null) {
            bytes += kept.input().length + kept.output().length;
        }
    }
}
