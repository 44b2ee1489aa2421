package org.celerygw.core.owner;

import org.celerygw.core.journal.Journal;
import org.celerygw.core.ownership.Ownership;

/**
 * How an owner paces itself.
 *
 * @param commitIntervalMs the least time between two journal writes
 * @param batchRecords the most records in one journal write
 * @param leaseMs a liveness row older than this marks its host as dead
 * @param heartbeatMs how often this host writes its liveness row
 * @param retentionMs how long answers are kept for retries after a program ended
 * @param grantTokens the chunk of a customer's ceiling that an owner draws at once
 * @param inlineBytes a batch with more bytes of content than this goes to the object store
 * @param snapshotRecords records in the journal after which a snapshot is written
 * @param maxOpenCalls the most calls not yet ended; further ones are refused
 */
public record OwnerSettings(
        long commitIntervalMs,
        int batchRecords,
        long leaseMs,
        long heartbeatMs,
        long retentionMs,
        long grantTokens,
        int inlineBytes,
        int snapshotRecords,
        int maxOpenCalls) {
    /** Settings for a deployment of today's size. */
    public static final OwnerSettings DEFAULT =
            new OwnerSettings(20, 512, 6_000, 1_500, 86_400_000L, 200_000, 65_536, 5_000, 10_000);

    Journal.Pace pace() {
        return new Journal.Pace(commitIntervalMs, batchRecords, heartbeatMs, inlineBytes);
    }

    Ownership.Lease lease() {
        return new Ownership.Lease(leaseMs, heartbeatMs);
    }
}
