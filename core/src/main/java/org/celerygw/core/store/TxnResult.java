package org.celerygw.core.store;

import java.util.List;

/**
 * How a conditional write ended.
 *
 * @param status what is known of its effect
 * @param found when a condition failed, the rows named in the conditions as they are now
 */
public record TxnResult(Status status, List<Row> found) {
    /** What is known of a write. */
    public enum Status {
        /** All changes took effect. */
        COMMITTED,
        /** A condition did not hold; nothing was written. */
        CONFLICT,
        /** The answer was lost or the store failed: the write may have taken effect, or may still do so. */
        UNKNOWN
    }

    /** The result of a write that took effect. */
    public static final TxnResult COMMITTED = new TxnResult(Status.COMMITTED, List.of());

    /** The result of a write of which nothing is known. */
    public static final TxnResult UNKNOWN = new TxnResult(Status.UNKNOWN, List.of());

    /**
     * Returns the result of a write whose condition failed.
     *
     * @param found the rows named in the conditions as they are now
     * @return the result
     */
    public static TxnResult conflict(List<Row> found) {
        return new TxnResult(Status.CONFLICT, List.copyOf(found));
    }
}
