package org.celerygw.core.owner;

import org.celerygw.core.journal.Journal;
import org.celerygw.core.ownership.Ownership;

/**
 * The intervals and limits of an owner.
 *
 * @param commitIntervalMs the minimum time between two journal writes, on average
 * @param maxBatchRecords the maximum number of records in one journal write
 * @param leaseMs how long a host may leave its liveness row unchanged before other hosts take it for dead
 * @param heartbeatMs the maximum time between two writes of this host's liveness row, and the interval at which it
 *     reads those of other hosts
 * @param retentionMs how long a program's answers stay available to retries after the program has ended
 * @param grantChunkTokens the tokens of a customer's ceiling that an owner reserves for itself at a time
 * @param maxInlineBytes the maximum size of a batch in the table; larger batches are written to the object store
 * @param snapshotIntervalRecords the number of journal records after which a snapshot is written
 * @param maxOpenCalls the maximum number of calls that have not ended; further calls are refused
 */
public record OwnerSettings(
        long commitIntervalMs,
        int maxBatchRecords,
        long leaseMs,
        long heartbeatMs,
        long retentionMs,
        long grantChunkTokens,
        int maxInlineBytes,
        int snapshotIntervalRecords,
        int maxOpenCalls) {
    /** The default settings. */
    public static final OwnerSettings DEFAULT =
            new OwnerSettings(20, 512, 6_000, 1_500, 86_400_000L, 200_000, 65_536, 5_000, 10_000);

    Journal.Settings journalPace() {
        return new Journal.Settings(commitIntervalMs, maxBatchRecords, heartbeatMs, maxInlineBytes);
    }

    Ownership.LeaseSettings leaseSettings() {
        return new Ownership.LeaseSettings(leaseMs, heartbeatMs);
    }
}
