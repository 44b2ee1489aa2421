package org.celerygw.core.store;

import java.util.List;

/**
 * How a conditional write ended.
 *
 * @param status what is known of its effect
 * @param found when a condition failed, the rows named in the conditions as they are now
 * @param version the version that the written rows have; 0 when the store does not say
 */
public record TxnResult(Status status, List<Row> found, long version) {
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
    public static final TxnResult COMMITTED = new TxnResult(Status.COMMITTED, List.of(), 0);

    /** The result of a write of which nothing is known. */
    public static final TxnResult UNKNOWN = new TxnResult(Status.UNKNOWN, List.of(), 0);

    /**
     * Returns the result of a write that took effect, from a store that tells versions.
     *
     * @param version the version that the written rows have
     * @return the result
     */
    public static TxnResult committed(long version) {
        return new TxnResult(Status.COMMITTED, List.of(), version);
    }

    /**
     * Returns the result of a write whose condition failed.
     *
     * @param found the rows named in the conditions as they are now
     * @return the result
     */
    public static TxnResult conflict(List<Row> found) {
        return new TxnResult(Status.CONFLICT, List.copyOf(found), 0);
    }
}
