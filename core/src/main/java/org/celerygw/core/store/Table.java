package org.celerygw.core.store;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's transactional table. Calls return at once; the consumer is called once, later, on the caller's
 * event loop. A failed read yields an {@link Answer} without rows.
 */
public interface Table {
    /**
     * Writes when all conditions hold.
     *
     * @param txn the conditions and the changes
     * @param done told how it ended
     */
    void write(Txn txn, Consumer<TxnResult> done);

    /**
     * Reads rows by key, all at one instant; an absent row has version 0.
     *
     * @param keys the rows' keys
     * @param done given the rows in the order of the keys
     */
    void read(List<String> keys, Consumer<Answer> done);

    /**
     * Reads existing rows whose key begins with a prefix, in key order.
     *
     * @param prefix the prefix
     * @param afterKey only keys after this one; empty for all
     * @param limit the most rows to return
     * @param done given the rows
     */
    void scan(String prefix, String afterKey, int limit, Consumer<Answer> done);

    /**
     * The answer to a read.
     *
     * @param ok false when the store did not answer
     * @param rows the rows; empty when it did not answer
     */
    record Answer(boolean ok, List<Row> rows) {
        /** The answer when the store did not answer. */
        public static final Answer FAILED = new Answer(false, List.of());
    }
}
