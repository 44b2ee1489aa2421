package org.celerygw.core.store;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's transactional key-value table. Calls return at once; the callback is called exactly once, later, on
 * the caller's event loop. A failed read is reported as {@link ReadResult#FAILED}, which has no rows.
 */
public interface Table {
    /**
     * Applies all changes of a transaction if all its conditions hold.
     *
     * @param txn the conditions and the changes
     * @param callback called with the outcome
     */
    void write(Txn txn, Consumer<TxnResult> callback);

    /**
     * Reads rows by key from one consistent state of the table; an absent row has version 0.
     *
     * @param keys the rows' keys
     * @param callback called with the rows in the order of the keys
     */
    void read(List<String> keys, Consumer<ReadResult> callback);

    /**
     * Reads existing rows whose key starts with a prefix, in key order.
     *
     * @param prefix the prefix of the keys
     * @param afterKey the key after which to start, exclusive; empty to start at the first
     * @param limit the maximum number of rows to return
     * @param callback called with the rows
     */
    void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback);

    /**
     * The result of a read.
     *
     * @param ok false if the store did not respond or failed
     * @param rows the rows; empty if the read failed
     */
    record ReadResult(boolean ok, List<Row> rows) {
        /** The result of a read that the store did not answer. */
        public static final ReadResult FAILED = new ReadResult(false, List.of());
    }
}
