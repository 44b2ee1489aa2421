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
    Budget budget = new Budget();
    long version = UNKNOWN;
    boolean writing;
    long bytes;

    ProgramEntry(String program, int partition, Table table) {
        this.program = program;
        this.partition = partition;
        this.table = table;
    }

    boolean idle() {
        return wishes.isEmpty() && !writing && loading.isEmpty();
    }

    void adopt(Row row) {
        version = row.version();
        budget = row.exists() ? Budget.parse(row.value()) : new Budget();
    }

    void remember(String turn, KeptTurn kept) {
        if (turns.put(turn, kept) == null) {
            bytes += kept.input().length + kept.output().length;
        }
    }
}
