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
 * A transactional table in memory. Thread-safe: several tables may share the same rows by {@link #on}. Heeds the faults
 * DOWN, SLOW (the wait comes before the effect), REFUSED (the write has no effect, its answer is lost) and LOST_ANSWER
 * (the write has taken effect, its answer is lost).
 */
public final class MemoryTable implements Table {
    private final Rows rows;
    private final Executor executor;
    private final Faults faults;

    /**
     * Makes an empty table.
     *
     * @param executor where answers are given; must not run tasks on the calling stack
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
     * @param otherExecutor where that client's answers are given
     * @param otherFaults the faults that this client sees
     * @return the view
     */
    public MemoryTable on(Executor otherExecutor, Faults otherFaults) {
        return new MemoryTable(rows, otherExecutor, otherFaults);
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        Later.run(executor, faults.takeDelayMs(), () -> done.accept(apply(txn)));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> done) {
        List<String> wanted = List.copyOf(keys);
        answer(done, () -> rows.read(wanted));
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> done) {
        Check.that(limit > 0, "limit must be positive");
        answer(done, () -> rows.scan(prefix, afterKey, limit));
    }

    /**
     * Returns how many writes were committed by all views together.
     *
     * @return the number of writes
     */
    public long writeCount() {
        return rows.writes.get();
    }

    /**
     * Returns how many reads and scans were answered by all views together.
     *
     * @return the number of reads
     */
    public long readCount() {
        return rows.reads.get();
    }

    private void answer(Consumer<ReadResult> done, Supplier<List<Row>> read) {
        Later.run(
                executor,
                faults.takeDelayMs(),
                () -> done.accept(faults.take(Fault.DOWN) ? ReadResult.FAILED : new ReadResult(true, read.get())));
    }

    private TxnResult apply(Txn txn) {
        if (faults.take(Fault.DOWN) || faults.take(Fault.REFUSED)) {
            return TxnResult.UNKNOWN;
        }
        TxnResult result = rows.write(txn);
        return faults.take(Fault.LOST_ANSWER) ? TxnResult.UNKNOWN : result;
    }

    /** The rows that all views share. */
    private static final class Rows {
        private final TreeMap<String, Row> byKey = new TreeMap<>();
        private final AtomicLong writes = new AtomicLong();
        private final AtomicLong reads = new AtomicLong();

        private synchronized TxnResult write(Txn txn) {
            boolean holds = txn.conditions().stream().allMatch(c -> get(c.key()).version() == c.version());
            if (!holds) {
                return TxnResult.conflict(
                        txn.conditions().stream().map(c -> get(c.key())).toList());
            }
            txn.changes().forEach(this::change);
            writes.incrementAndGet();
            return TxnResult.COMMITTED;
        }

        private void change(Txn.Change change) {
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
            boolean fromPrefix = afterKey.compareTo(prefix) < 0;
            return byKey.tailMap(fromPrefix ? prefix : afterKey, fromPrefix).values().stream()
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
