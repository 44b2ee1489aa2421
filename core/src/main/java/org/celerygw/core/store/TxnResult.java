package org.celerygw.core.store;

import java.util.List;

/**
 * The outcome of a conditional write.
 *
 * @param status whether the changes took effect, as far as is known
 * @param currentRows after a conflict, the current rows for the keys of the conditions; otherwise empty
 * @param version after a commit, the new version of the written rows; 0 if the store does not report it
 */
public record TxnResult(Status status, List<Row> currentRows, long version) {
    /** Whether a conditional write took effect. */
    public enum Status {
        /** All changes took effect. */
        COMMITTED,
        /** At least one condition did not hold; nothing was written. */
        CONFLICT,
        /** The response was lost or the store failed: the write may have taken effect or may still do so. */
        UNKNOWN
    }

    /** The result of a committed write whose new row version is not known. */
    public static final TxnResult COMMITTED = new TxnResult(Status.COMMITTED, List.of(), 0);

    /** The result of a write that may or may not have taken effect. */
    public static final TxnResult UNKNOWN = new TxnResult(Status.UNKNOWN, List.of(), 0);

    /**
     * Returns the result of a committed write, for a store that reports row versions.
     *
     * @param version the new version of the written rows
     * @return a result with the status {@link Status#COMMITTED}
     */
    public static TxnResult committed(long version) {
        return new TxnResult(Status.COMMITTED, List.of(), version);
    }

    /**
     * Returns the result of a write of which a condition did not hold.
     *
     * @param found the current rows for the keys of the conditions
     * @return a result with the status {@link Status#CONFLICT}
     */
    public static TxnResult conflict(List<Row> found) {
        return new TxnResult(Status.CONFLICT, List.copyOf(found), 0);
    }
}
