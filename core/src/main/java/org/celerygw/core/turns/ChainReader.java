package org.celerygw.core.turns;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;

/** Follows one chain of turns from its newest to its oldest, across programs where it must. */
final class ChainReader {
    private final Ledger ledger;
    private final Consumer<Chain> done;
    private final Deque<KeptTurn> found = new ArrayDeque<>();
    private final Set<String> loaded = new HashSet<>();
    private String newestProgram = "";
    private String newestTurn = "";

    ChainReader(Ledger ledger, Consumer<Chain> done) {
        this.ledger = ledger;
        this.done = done;
    }

    void start(ProgramEntry entry, String turn) {
        newestTurn = turn;
        step(entry, turn);
    }

    private void step(ProgramEntry entry, String turn) {
        KeptTurn kept = entry.turns.get(turn);
        if (kept != null) {
            follow(entry, kept);
        } else if (loaded.add(entry.program)) {
            ledger.load(entry, ok -> {
                if (ok) {
                    step(entry, turn);
                } else {
                    done.accept(Chain.UNAVAILABLE);
                }
            });
        } else if (found.isEmpty()) {
            searchElsewhere(turn);
        } else {
            // An older turn of a chain whose newest one is known: the chain cannot be rebuilt for certain.
            done.accept(Chain.UNAVAILABLE);
        }
    }

    private void follow(ProgramEntry entry, KeptTurn kept) {
        if (found.isEmpty()) {
            newestProgram = entry.program;
        }
        found.addFirst(kept);
        if (kept.first()) {
            done.accept(chain());
        } else {
            step(ledger.entry(kept.parentProgram()), kept.parentTurn());
        }
    }

    private Chain chain() {
        ByteArrayOutputStream history = new ByteArrayOutputStream();
        found.forEach(t -> {
            history.writeBytes(t.input());
            history.writeBytes(t.output());
        });
        return new Chain(
                Chain.Status.FOUND,
                newestProgram,
                newestTurn,
                history.toByteArray(),
                found.getLast().server());
    }

    /** Asks the index of every partition; "missing" is told only when all have answered. */
    private void searchElsewhere(String turn) {
        List<Table> partitions = ledger.partitions();
        AtomicInteger left = new AtomicInteger(partitions.size());
        Search search = new Search();
        partitions.forEach(p -> p.read(List.of(Keys.index(turn)), answer -> {
            search.take(answer);
            if (left.decrementAndGet() == 0) {
                search.end(turn);
            }
        }));
    }

    private final class Search {
        private boolean failed;
        private String program = "";

        void take(Table.Answer answer) {
            failed |= !answer.ok();
            answer.rows().stream()
                    .filter(Row::exists)
                    .forEach(r -> program = r.value().toStringUtf8());
        }

        void end(String turn) {
            if (!program.isEmpty() && !loaded.contains(program)) {
                step(ledger.entry(program), turn);
            } else {
                done.accept(failed || !program.isEmpty() ? Chain.UNAVAILABLE : Chain.MISSING);
            }
        }
    }
}
