package org.celerygw.core.config;

import org.celerygw.core.helper.Check;

/**
 * The pace at which versions are confirmed and fetched.
 *
 * @param minConfirmMs the shortest time between two confirmations by one daemon
 * @param confirmReadsPerS how many confirmations a second the whole fleet may ask of the store
 * @param storeFetchers how many daemons read a new version from the store; the rest ask peers first
 * @param retryMs the time between attempts to fetch
 * @param peerAttempts after so many attempts at peers the store is asked
 * @param acceptTimeoutMs how long an accept whose answer was lost is asked after
 */
public record ConfigSettings(
        long minConfirmMs,
        int confirmReadsPerS,
        int storeFetchers,
        long retryMs,
        int peerAttempts,
        long acceptTimeoutMs) {
    /** The usual pace. */
    public static final ConfigSettings DEFAULTS = new ConfigSettings(5000, 4, 32, 150, 6, 10_000);

    /**
     * Checks the values.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public ConfigSettings {
        Check.that(minConfirmMs > 0 && retryMs > 0 && acceptTimeoutMs > 0, "times must be positive");
        Check.that(confirmReadsPerS > 0 && storeFetchers > 0 && peerAttempts > 0, "counts must be positive");
    }

    /** The time between two confirmations by one daemon of a fleet of this size. */
    long confirmMs(int fleetSize) {
        return Math.max(minConfirmMs, 1000L * fleetSize / confirmReadsPerS);
    }
}
