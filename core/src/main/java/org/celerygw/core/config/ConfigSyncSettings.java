package org.celerygw.core.config;

import org.celerygw.core.helper.Check;

/**
 * Intervals and limits for confirming, fetching and proposing configuration versions.
 *
 * @param minConfirmIntervalMs the minimum interval between two confirmations by one daemon
 * @param maxConfirmReadsPerSecond the maximum number of confirmations per second that the fleet reads from the store
 * @param storeFetchingDaemons the expected number of daemons that fetch a new version from the store first; the
 *     others fetch from peers first
 * @param retryIntervalMs the interval between attempts to fetch a version or to write a proposal
 * @param peerAttemptsBeforeStore the number of fetch attempts from peers before each attempt from the store
 * @param proposalTimeoutMs the time after which a proposal without a known outcome is given up
 */
public record ConfigSyncSettings(
        long minConfirmIntervalMs,
        int maxConfirmReadsPerSecond,
        int storeFetchingDaemons,
        long retryIntervalMs,
        int peerAttemptsBeforeStore,
        long proposalTimeoutMs) {
    /** The default settings. */
    public static final ConfigSyncSettings DEFAULTS = new ConfigSyncSettings(5000, 4, 32, 150, 6, 10_000);

    /**
     * Checks that all values are positive.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public ConfigSyncSettings {
        Check.that(minConfirmIntervalMs > 0 && retryIntervalMs > 0 && proposalTimeoutMs > 0, "times must be positive");
        Check.that(
                maxConfirmReadsPerSecond > 0 && storeFetchingDaemons > 0 && peerAttemptsBeforeStore > 0,
                "counts must be positive");
    }

    /**
     * Returns the mean interval between two confirmations by one daemon, which grows with the fleet to limit the store
     * load.
     */
    long confirmIntervalMs(int fleetSize) {
        return Math.max(minConfirmIntervalMs, 1000L * fleetSize / maxConfirmReadsPerSecond);
    }
}
