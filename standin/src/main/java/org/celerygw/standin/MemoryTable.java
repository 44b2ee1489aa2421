package org.celerygw.standin;

import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.celerygw.core.helper.Check;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/**
 * An in-memory transactional table. Thread-safe; several clients share the same rows by {@link #viewFor}.
 *
 * <p>Injects the faults DOWN, SLOW (the delay precedes the effect), REFUSED (the write has no effect and its outcome is
 * unknown) and LOST_ANSWER (the write takes effect and its outcome is unknown).
 */
public final class MemoryTable implements Table {
    private final Rows rows;
    private final Executor executor;
    private final Faults faults;

    /**
     * Creates an empty table.
     *
     * @param executor runs the operations and their callbacks; must not run tasks on the calling thread's stack
     * @param faults the faults to inject
     */
    public MemoryTable(Executor executor, Faults faults) {
        this(new Rows(), executor, faults);
    }

    private MemoryTable(Rows rows, Executor executor, Faults faults) {
        this.rows = rows;
        this.executor = executor;
        this.faults = faults;
    }

    /**
     * Returns a view of the same rows for another client.
     *
     * @param otherExecutor runs that client's operations and callbacks
     * @param otherFaults the faults to inject into that client's operations
     * @return a table that shares the rows of this one
     */
    public MemoryTable viewFor(Executor otherExecutor, Faults otherFaults) {
        return new MemoryTable(rows, otherExecutor, otherFaults);
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        DelayedTasks.schedule(executor, faults.nextDelayMs(), () -> callback.accept(apply(txn)));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        List<String> keysCopy = List.copyOf(keys);
        completeRead(callback, () -> rows.read(keysCopy));
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        Check.that(limit > 0, "limit must be positive");
        completeRead(callback, () -> rows.scan(prefix, afterKey, limit));
    }

    /**
     * Returns how many writes all views together have committed.
     *
     * @return the number of writes
     */
    public long writeCount() {
        return rows.writes.get();
    }

    /**
     * Returns how many reads and scans all views together have completed.
     *
     * @return the number of reads and scans
     */
    public long readCount() {
        return rows.reads.get();
    }

    private void completeRead(Consumer<ReadResult> callback, Supplier<List<Row>> read) {
        DelayedTasks.schedule(
                executor,
                faults.nextDelayMs(),
                () -> callback.accept(
                        faults.consume(Fault.DOWN) ? ReadResult.FAILED : new ReadResult(true, read.get())));
    }

    private TxnResult apply(Txn txn) {
        if (faults.consume(Fault.DOWN) || faults.consume(Fault.REFUSED)) {
            return TxnResult.UNKNOWN;
        }
        TxnResult result = rows.write(txn);
        return faults.consume(Fault.LOST_ANSWER) ? TxnResult.UNKNOWN : result;
    }

    /** The rows that all views share. */
    private static final class Rows {
        private final TreeMap<String, Row> byKey = new TreeMap<>();
        private final AtomicLong writes = new AtomicLong();
        private final AtomicLong reads = new AtomicLong();

        private synchronized TxnResult write(Txn txn) {
            boolean conditionsHold =
                    txn.conditions().stream().allMatch(c -> get(c.key()).version() == c.version());
            if (!conditionsHold) {
                return TxnResult.conflict(
                        txn.conditions().stream().map(c -> get(c.key())).toList());
            }
            txn.changes().forEach(this::applyChange);
            writes.incrementAndGet();
            return TxnResult.COMMITTED;
        }

        private void applyChange(Txn.Change change) {
            if (change.delete()) {
                byKey.remove(change.key());
                return;
            }
            long version = get(change.key()).version() + 1;
            byKey.put(change.key(), new Row(change.key(), version, change.value()));
        }

        private synchronized List<Row> read(List<String> keys) {
            reads.incrementAndGet();
            return keys.stream().map(this::get).toList();
        }

        private synchronized List<Row> scan(String prefix, String afterKey, int limit) {
            reads.incrementAndGet();
            boolean startAtPrefix = afterKey.compareTo(prefix) < 0;
            return byKey.tailMap(startAtPrefix ? prefix : afterKey, startAtPrefix).values().stream()
                    .takeWhile(row -> row.key().startsWith(prefix))
                    .limit(limit)
                    .toList();
        }

        private Row get(String key) {
            Row row = byKey.get(key);
            return row == null ? Row.absent(key) : row;
        }
    }
}
