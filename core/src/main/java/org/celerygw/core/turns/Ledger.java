package org.celerygw.core.turns;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps programs as rows in the store: budgets are reserved before a turn and settled after it, kept turns are written
 * in the same transaction. Every write depends on the version of the program's row, so any host may serve any turn and
 * a write whose answer is lost is settled by writing again: it either meets its own effect or takes place. All that a
 * host remembers is a cache. Not thread-safe: one event loop calls it, and the tables and the scheduler answer there.
 *
 * <pre>{@code
 * ledger.reserve(new Reservation(program, turn, 136, 1_088, 60_000), untilMs, grant -> ...);
 * ledger.settle(program, turn, 40, kept, untilMs, grant -> ...);
 * }</pre>
 */
public final class Ledger {
    private static final int MOST_WISHES = 24;
    private static final int MOST_BYTES = 500_000;
    private static final int SCAN_ROWS = 500;
    private static final int MOST_ENTRIES = 20_000;
    private static final long LAZY_MS = 400;
    private static final long GIVE_BACK_MS = 15_000;

    private final List<Table> partitions;
    private final String holder;
    private final Clock clock;
    private final Scheduler scheduler;
    private final int rowBytes;
    private final long cacheBytes;
    private final LinkedHashMap<String, ProgramEntry> entries = new LinkedHashMap<>(256, 0.75f, true);
    private long usedBytes;
    private final List<Gate> gates;
    private long aheads;
    private long keptTurns;
    private long begunAhead;

    /**
     * Makes a ledger.
     *
     * @param partitions the store's partitions; the same number on every host, always
     * @param holder names this process; no other process, earlier or later, has the same
     * @param clock tells the time
     * @param scheduler runs retries
     * @param rowBytes the most bytes of a row's value
     * @param cacheBytes how much of the turns' text is remembered
     */
    public Ledger(
            List<Table> partitions, String holder, Clock clock, Scheduler scheduler, int rowBytes, long cacheBytes) {
        this.partitions = List.copyOf(partitions);
        this.holder = holder;
        this.clock = clock;
        this.scheduler = scheduler;
        this.rowBytes = rowBytes;
        this.cacheBytes = cacheBytes;
        this.gates = partitions.stream()
                .map(p -> new Gate(clock, scheduler, entry -> pump(entry, false)))
                .toList();
    }

    /**
     * Returns whether writes for a program are confirmed at present.
     *
     * @param program the program's id
     * @return false after two calls in a row to its partition of which nothing is known
     */
    public boolean answering(String program) {
        return gates.get(Keys.partition(Keys.safe(program), partitions.size())).answering();
    }

    /**
     * Returns whether a turn most likely fits the budget, as far as this host remembers.
     *
     * @param program the program's id
     * @param maxTokens the most tokens of the turn
     * @param budgetTokens the program's budget
     * @return true when the program is unknown here or its row had room
     */
    public boolean likelyFits(String program, long maxTokens, long budgetTokens) {
        ProgramEntry entry = entries.get(Keys.safe(program));
        return entry == null || entry.budget.fits(maxTokens, budgetTokens);
    }

    /**
     * Reserves the most that a turn may generate.
     *
     * @param wanted what to reserve
     * @param untilMs when to give up, in ms since 1970-01-01 UTC
     * @param done told how it ended
     */
    public void reserve(Reservation wanted, long untilMs, Consumer<Grant> done) {
        ProgramEntry entry = entry(wanted.program());
        entry.asked(wanted);
        boolean inBudget = entry.budget.fits(0, wanted.budgetTokens());
        if (inBudget && entry.spares.bind(Keys.safe(wanted.turn()), wanted.maxTokens(), clock.nowMs())) {
            begunAhead++;
            done.accept(Grant.DONE);
            return;
        }
        ask(entry, Wish.reserve(wanted, untilMs, done));
    }

    /**
     * Ends a reserved turn and keeps its text, in one transaction.
     *
     * @param program the program's id
     * @param turn the turn's id
     * @param tokens what the client was given
     * @param kept the turn to keep; null when its history is not kept
     * @param untilMs when to tell that it is not confirmed; the write is tried for a while longer
     * @param done told how it ended
     */
    public void settle(
            String program, String turn, long tokens, @Nullable KeptTurn kept, long untilMs, Consumer<Grant> done) {
        ProgramEntry entry = entry(program);
        ask(entry, settlement(entry, turn, tokens, kept, untilMs, done));
    }

    /**
     * Ends a reserved turn whose history is not kept. The write waits a moment, so that it can go with the program's
     * next reservation; until then the turn counts at its most.
     *
     * @param program the program's id
     * @param turn the turn's id
     * @param tokens what the client was given
     */
    public void settleLater(String program, String turn, long tokens) {
        ProgramEntry entry = entry(program);
        entry.wishes.add(settlement(entry, turn, tokens, null, clock.nowMs() + GIVE_BACK_MS, g -> {}));
        scheduler.after(LAZY_MS, () -> pump(entry, false));
    }

    private static Wish settlement(
            ProgramEntry entry, String turn, long tokens, @Nullable KeptTurn kept, long untilMs, Consumer<Grant> done) {
        String safe = Keys.safe(turn);
        return Wish.settle(safe, entry.spares.release(safe), tokens, kept, untilMs, done);
    }

    /**
     * Reads what a turn continues from; reads again while the store does not answer.
     *
     * @param program the program's id
     * @param previous the turn that it continues
     * @param untilMs when to give up, in ms since 1970-01-01 UTC
     * @param done given the chain
     */
    public void chain(String program, String previous, long untilMs, Consumer<Chain> done) {
        ProgramEntry entry = entry(program);
        ChainReader reader = new ChainReader(this, found -> {
            long pauseMs = pauseMs(entry);
            if (found.status() == Chain.Status.UNAVAILABLE && clock.nowMs() + pauseMs < untilMs) {
                scheduler.after(pauseMs, () -> chain(program, previous, untilMs, done));
            } else {
                done.accept(found);
            }
        });
        reader.start(entry, Keys.safe(previous));
    }

    /**
     * Returns how many turns this host has kept in the store.
     *
     * @return a count
     */
    public long keptTurns() {
        return keptTurns;
    }

    /**
     * Returns how many turns found a reservation made ahead.
     *
     * @return a count
     */
    public long begunAhead() {
        return begunAhead;
    }

    /**
     * Returns how many programs wait for a write to end or to begin.
     *
     * @return a count
     */
    public long waiting() {
        return entries.values().stream().filter(e -> !e.wishes.isEmpty()).count();
    }

    /**
     * Returns how many programs this host remembers.
     *
     * @return a count
     */
    public int remembered() {
        return entries.size();
    }

    ProgramEntry entry(String program) {
        String safe = Keys.safe(program);
        ProgramEntry known = entries.get(safe);
        if (known != null) {
            return known;
        }
        int partition = Keys.partition(safe, partitions.size());
        ProgramEntry fresh = new ProgramEntry(safe, partition, partitions.get(partition));
        entries.put(safe, fresh);
        evict();
        return fresh;
    }

    List<Table> partitions() {
        return partitions;
    }

    /** Reads all rows of a program; tells whether the store answered. */
    void load(ProgramEntry entry, Consumer<Boolean> done) {
        entry.loading.add(done);
        if (entry.loading.size() == 1) {
            page(entry, "", new ArrayList<>());
        }
    }

    private void page(ProgramEntry entry, String after, List<Row> rows) {
        entry.table.scan(Keys.rows(entry.program), after, SCAN_ROWS, answer -> {
            rows.addAll(answer.rows());
            if (answer.ok() && answer.rows().size() >= SCAN_ROWS) {
                page(entry, rows.get(rows.size() - 1).key(), rows);
                return;
            }
            gate(entry).answered(answer.ok());
            if (answer.ok()) {
                take(entry, rows);
            }
            List<Consumer<Boolean>> waiting = List.copyOf(entry.loading);
            entry.loading.clear();
            waiting.forEach(w -> w.accept(answer.ok()));
        });
    }

    private void take(ProgramEntry entry, List<Row> rows) {
        long before = entry.bytes;
        TurnRows.read(entry.program, rows).forEach(entry::remember);
        usedBytes += entry.bytes - before;
        String key = Keys.program(entry.program);
        rows.stream()
                .filter(r -> r.key().equals(key) && !entry.writing && r.version() > entry.version)
                .forEach(r -> entry.adopt(r, clock.nowMs()));
    }

    private void ask(ProgramEntry entry, Wish wish) {
        entry.wishes.add(wish);
        long leftMs = wish.untilMs - clock.nowMs();
        scheduler.after(Math.max(1, leftMs), () -> wish.end(Grant.UNAVAILABLE));
        pump(entry, false);
    }

    /** Writes what waits. Fresh tells that the budget was read or written just now. */
    private void pump(ProgramEntry entry, boolean fresh) {
        if (entry.writing) {
            return;
        }
        dropLate(entry);
        if (entry.wishes.isEmpty()) {
            return;
        }
        if (entry.version == ProgramEntry.UNKNOWN && !entry.wishes.peek().reserves) {
            confirm(entry);
            return;
        }
        Draft draft = new Draft(entry, rowBytes, clock.nowMs());
        Iterator<Wish> waiting = entry.wishes.iterator();
        while (waiting.hasNext() && draft.wishes.size() < MOST_WISHES && draft.bytes < MOST_BYTES) {
            Wish wish = waiting.next();
            if (draft.take(wish)) {
                waiting.remove();
            } else if (fresh) {
                waiting.remove();
                draft.spent.add(wish);
            } else {
                break;
            }
        }
        draft.spent.forEach(w -> w.end(Grant.SPENT));
        if (draft.wishes.isEmpty()) {
            if (!entry.wishes.isEmpty()) {
                confirm(entry);
            }
        } else if (draft.changed) {
            write(entry, draft);
        } else {
            done(entry, draft);
            pump(entry, fresh);
        }
    }

    private void confirm(ProgramEntry entry) {
        if (!gate(entry).pass(entry)) {
            return;
        }
        entry.writing = true;
        entry.table.read(List.of(Keys.program(entry.program)), answer -> {
            entry.writing = false;
            gate(entry).answered(answer.ok());
            if (answer.ok()) {
                entry.adopt(answer.rows().get(0), clock.nowMs());
                pump(entry, true);
            } else {
                pumpLater(entry);
            }
        });
    }

    private void write(ProgramEntry entry, Draft draft) {
        if (!gate(entry).pass(entry)) {
            draft.putBack(entry);
            return;
        }
        entry.writing = true;
        draft.wishes.forEach(w -> w.written = true);
        draft.reserveAhead(() -> Budget.AHEAD + holder + "-" + aheads++);
        draft.spares().forEach(name -> entry.spares.writing(name, entry.maxTokens));
        entry.table.write(draft.txn(), result -> {
            entry.writing = false;
            gate(entry).answered(result.status() != TxnResult.Status.UNKNOWN);
            switch (result.status()) {
                case COMMITTED -> committed(entry, draft, result.version());
                case CONFLICT -> {
                    draft.putBack(entry);
                    result.found().forEach(r -> entry.adopt(r, clock.nowMs()));
                    pump(entry, true);
                }
                case UNKNOWN -> {
                    draft.putBack(entry);
                    pumpLater(entry);
                }
            }
        });
    }

    private void committed(ProgramEntry entry, Draft draft, long version) {
        entry.budget = draft.budget;
        draft.spares().forEach(name -> entry.spares.written(name, clock.nowMs()));
        entry.version = version > 0 ? version : ProgramEntry.UNKNOWN;
        long before = entry.bytes;
        draft.wishes.forEach(w -> {
            if (w.kept != null) {
                keptTurns++;
                entry.remember(w.turn, w.kept);
            }
        });
        usedBytes += entry.bytes - before;
        done(entry, draft);
        pump(entry, version > 0);
    }

    /** Tells the askers; a reservation whose asker has given up is given back. */
    private void done(ProgramEntry entry, Draft draft) {
        draft.wishes.forEach(w -> w.end(Grant.DONE));
        draft.wishes.stream().filter(w -> w.abandoned).forEach(w -> giveBack(entry, w));
    }

    private void giveBack(ProgramEntry entry, Wish wish) {
        entry.wishes.add(Wish.settle(wish.turn, wish.turn, 0, null, clock.nowMs() + GIVE_BACK_MS, g -> {}));
    }

    private Gate gate(ProgramEntry entry) {
        return gates.get(entry.partition);
    }

    private void pumpLater(ProgramEntry entry) {
        scheduler.after(pauseMs(entry), () -> pump(entry, false));
    }

    /** Returns how long to wait before the store is asked again; hosts that met the same outage come back spread out. */
    private long pauseMs(ProgramEntry entry) {
        long pauseMs = gate(entry).pauseMs();
        return pauseMs / 2 + Math.floorMod(entry.program.hashCode() + clock.nowMs(), pauseMs + 1);
    }

    /** Gives up reservations whose time is over; one that may be in the store is given back. */
    private void dropLate(ProgramEntry entry) {
        long nowMs = clock.nowMs();
        List<Wish> late = entry.wishes.stream()
                .filter(w -> nowMs >= (w.reserves ? w.untilMs : w.untilMs + GIVE_BACK_MS))
                .toList();
        entry.wishes.removeAll(late);
        for (Wish wish : late) {
            wish.end(Grant.UNAVAILABLE);
            if (wish.reserves && wish.written) {
                giveBack(entry, wish);
            }
        }
    }

    private void evict() {
        Iterator<Map.Entry<String, ProgramEntry>> oldest = entries.entrySet().iterator();
        while ((usedBytes > cacheBytes || entries.size() > MOST_ENTRIES) && oldest.hasNext()) {
            ProgramEntry entry = oldest.next().getValue();
            if (entry.idle()) {
                oldest.remove();
                usedBytes -= entry.bytes;
            }
        }
    }
}
