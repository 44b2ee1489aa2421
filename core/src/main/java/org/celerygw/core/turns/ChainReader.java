package org.celerygw.core.turns;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;

/**
 * Reads one chain of turns from the newest to the oldest by following the parent references, also across programs. For
 * use once: call {@link #start} on a new reader.
 */
final class ChainReader {
    private final ProgramStore programStore;
    private final String customer;
    private final Consumer<TurnChain> callback;
    private final Deque<StoredTurn> turns = new ArrayDeque<>();
    private final Set<String> loadedPrograms = new HashSet<>();
    private final Set<String> visited = new HashSet<>();
    /** Programs that hold a turn of the requested id, but one of another customer. */
    private final Set<String> foreignPrograms = new HashSet<>();
    /** Programs that hold a turn of the requested id according to the index, and were not read yet. */
    private final Deque<String> candidates = new ArrayDeque<>();

    private boolean searched;
    private TurnChain notFound = TurnChain.MISSING;
    private String newestProgram = "";
    private String newestTurn = "";

    ChainReader(ProgramStore programStore, String customer, Consumer<TurnChain> callback) {
        this.programStore = programStore;
        this.customer = customer;
        this.callback = callback;
    }

    void start(CachedProgram program, String turnId) {
        newestTurn = turnId;
        readTurn(program, turnId);
    }

    /** Iterates over the turns that are cached: a recursion over a long chain would overflow the stack. */
    private void readTurn(CachedProgram firstProgram, String firstTurnId) {
        CachedProgram program = firstProgram;
        String turnId = firstTurnId;
        StoredTurn turn = program.turns.get(turnId);
        while (turn != null) {
            if (!turn.isReadableBy(customer)) {
                foreignPrograms.add(program.safeId);
                continueElsewhere(turnId);
                return;
            }
            if (!visited.add(program.safeId + "/" + turnId)) {
                // The rows name each other as parents, which no host writes.
                callback.accept(TurnChain.UNAVAILABLE);
                return;
            }
            if (turns.isEmpty()) {
                newestProgram = program.safeId;
            }
            turns.addFirst(turn);
            if (turn.isFirst()) {
                callback.accept(buildChain());
                return;
            }
            program = programStore.cachedBySafeId(turn.parentProgram());
            turnId = turn.parentTurn();
            turn = program.turns.get(turnId);
        }
        readMissing(program, turnId);
    }

    private void readMissing(CachedProgram program, String turnId) {
        if (loadedPrograms.add(program.safeId)) {
            programStore.load(program, ok -> {
                if (ok) {
                    readTurn(program, turnId);
                } else {
                    callback.accept(TurnChain.UNAVAILABLE);
                }
            });
        } else {
            if (searched) {
                // The index names a program that does not hold the turn.
                notFound = TurnChain.UNAVAILABLE;
            }
            continueElsewhere(turnId);
        }
    }

    private void continueElsewhere(String turnId) {
        if (!turns.isEmpty()) {
            // The newest turn was found but one of its ancestors is missing, so the chain cannot be rebuilt.
            callback.accept(TurnChain.UNAVAILABLE);
        } else if (!searched) {
            searched = true;
            searchAllPartitions(turnId);
        } else if (candidates.isEmpty()) {
            callback.accept(notFound);
        } else {
            readTurn(programStore.cachedBySafeId(candidates.remove()), turnId);
        }
    }

    private TurnChain buildChain() {
        ByteArrayOutputStream history = new ByteArrayOutputStream();
        turns.forEach(t -> {
            history.writeBytes(t.input());
            history.writeBytes(t.output());
        });
        return new TurnChain(
                TurnChain.Status.FOUND,
                newestProgram,
                newestTurn,
                history.toByteArray(),
                turns.getLast().server());
    }

    /** Looks the turn up in the index of every partition; reports it as missing only if all partitions responded. */
    private void searchAllPartitions(String turnId) {
        List<Table> partitions = programStore.partitions();
        AtomicInteger pendingReads = new AtomicInteger(partitions.size());
        IndexSearch search = new IndexSearch();
        partitions.forEach(p -> p.read(List.of(ProgramRowKeys.turnIndexRow(turnId)), result -> {
            search.add(result);
            if (pendingReads.decrementAndGet() == 0) {
                search.finish(turnId);
            }
        }));
    }

    /** Collects the responses of all partitions to one index lookup. */
    private final class IndexSearch {
        private boolean failed;
        private final Set<String> programs = new LinkedHashSet<>();

        void add(Table.ReadResult result) {
            failed |= !result.ok();
            result.rows().stream()
                    .filter(Row::exists)
                    .forEach(r -> programs.add(r.value().toStringUtf8()));
        }

        void finish(String turnId) {
            programs.removeAll(foreignPrograms);
            if (failed || programs.stream().anyMatch(loadedPrograms::contains)) {
                notFound = TurnChain.UNAVAILABLE;
            }
            programs.stream().filter(p -> !loadedPrograms.contains(p)).forEach(candidates::add);
            continueElsewhere(turnId);
        }
    }
}
