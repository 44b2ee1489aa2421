package org.celerygw.gateway.watch;

import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;

/** A table of the store that supports reading a complete snapshot and watching for later changes. */
public interface RowFeed {
    /**
     * Reads a snapshot of the whole table.
     *
     * @param callback called with all rows, or with status FAILED when the store does not answer
     */
    void readAll(Consumer<Result> callback);

    /**
     * Waits for rows that changed after a version, by a long poll.
     *
     * @param version the version up to which the changes are already known
     * @param waitMs how long the store may hold the request when nothing has changed, in ms
     * @param callback called with the changed rows, possibly none; with status HISTORY_EXPIRED when the store no longer has the
     *     history after that version; or with status FAILED when the store does not answer
     */
    void awaitChanges(long version, long waitMs, Consumer<Result> callback);

    /** The outcome of a read. */
    enum Status {
        /** The read succeeded; there may be no rows. */
        OK,
        /** The store no longer has the requested history; a complete snapshot must be read. */
        HISTORY_EXPIRED,
        /** There was no usable answer. */
        FAILED
    }

    /**
     * The result of a read.
     *
     * @param status the outcome of the read
     * @param version the version of the table up to which the rows are complete; 0 unless the status is OK
     * @param rows the rows read; a deleted row is included as one that does not exist
     */
    record Result(Status status, long version, List<Row> rows) {
        /**
         * Returns a result without rows.
         *
         * @param status the reason why there are no rows
         * @return a result of version 0
         */
        public static Result withoutRows(Status status) {
            return new Result(status, 0, List.of());
        }
    }
}
