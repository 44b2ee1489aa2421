package org.celerygw.gateway.watch;

import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;

/** A table of the store that can be read whole and followed. */
public interface RowFeed {
    /**
     * Reads everything at one instant.
     *
     * @param done given the rows, or told that there is no answer
     */
    void all(Consumer<News> done);

    /**
     * Waits for rows that changed after a version.
     *
     * @param version the version
     * @param waitMs how long the store may wait
     * @param done given the changed rows, perhaps none, or told that there is no answer or no such history
     */
    void after(long version, long waitMs, Consumer<News> done);

    /** What became of a question. */
    enum Status {
        /** Rows, perhaps none. */
        OK,
        /** The history asked for is gone; only a whole read helps. */
        FORGOTTEN,
        /** No answer that can be used. */
        FAILED
    }

    /**
     * An answer.
     *
     * @param status what became of the question
     * @param version up to where the answer reaches
     * @param rows the rows; one that is gone is absent
     */
    record News(Status status, long version, List<Row> rows) {
        /**
         * Returns an answer without rows.
         *
         * @param status why
         * @return the answer
         */
        public static News none(Status status) {
            return new News(status, 0, List.of());
        }
    }
}
