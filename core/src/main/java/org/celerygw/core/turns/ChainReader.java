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

/**
 * Reads one chain of turns from the newest to the oldest by following the parent references, also across programs. For
 * use once: call {@link #start} on a new reader.
 */
final class ChainReader {
    private final ProgramStore programStore;
    private final Consumer<TurnChain> callback;
    private final Deque<StoredTurn> turns = new ArrayDeque<>();
    private final Set<String> loadedPrograms = new HashSet<>();
    private final Set<String> visited = new HashSet<>();
    private String newestProgram = "";
    private String newestTurn = "";

    ChainReader(ProgramStore programStore, Consumer<TurnChain> callback) {
        this.programStore = programStore;
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
            program = programStore.cachedProgram(turn.parentProgram());
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
        } else if (turns.isEmpty()) {
            searchAllPartitions(turnId);
        } else {
            // The newest turn was found but one of its ancestors is missing, so the chain cannot be rebuilt.
            callback.accept(TurnChain.UNAVAILABLE);
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
        private String program = "";

        void add(Table.ReadResult result) {
            failed |= !result.ok();
            result.rows().stream()
                    .filter(Row::exists)
                    .forEach(r -> program = r.value().toStringUtf8());
        }

        void finish(String turnId) {
            if (!program.isEmpty() && !loadedPrograms.contains(program)) {
                readTurn(programStore.cachedProgram(program), turnId);
            } else {
                callback.accept(failed || !program.isEmpty() ? TurnChain.UNAVAILABLE : TurnChain.MISSING);
            }
        }
    }
}
