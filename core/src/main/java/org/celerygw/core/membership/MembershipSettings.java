package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;

/**
 * Intervals, time-outs and datagram sizes of the membership protocol. A dead member is detected within about
 * {@code 2 * probeIntervalMs + probeTimeoutMs + suspicionMs}.
 *
 * @param fleet the fleet's name; datagrams of another fleet are dropped
 * @param probeIntervalMs one member is probed in each interval
 * @param probeRetryMs an unanswered ping is repeated after this time; every second repetition, starting with the
 *     first, also goes through other members
 * @param probeTimeoutMs the target of a probe without an acknowledgement becomes suspect after this time
 * @param suspicionMs a suspect that does not refute the suspicion within this time is declared dead
 * @param syncIntervalMs the interval at which the complete state is compared with that of a random member
 * @param reconnectIntervalMs the interval at which a dead member, or a seed that is not a present member, is pinged
 * @param tombstoneMs the time for which a dead or departed member is retained; a dead one is still pinged
 * @param typicalDatagramBytes the size up to which probes and pushes are filled; bounds the constant traffic
 * @param maxDatagramBytes the maximum size of any datagram sent or accepted
 */
public record MembershipSettings(
        String fleet,
        long probeIntervalMs,
        long probeRetryMs,
        long probeTimeoutMs,
        long suspicionMs,
        long syncIntervalMs,
        long reconnectIntervalMs,
        long tombstoneMs,
        int typicalDatagramBytes,
        int maxDatagramBytes) {
    /**
     * Checks the ranges.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a value is out of range
     */
    public MembershipSettings {
        Check.name(fleet, "fleet");
        Check.that(probeRetryMs > 0 && probeIntervalMs > 0, "intervals must be positive");
        Check.that(probeTimeoutMs > probeRetryMs, "probeTimeoutMs must exceed probeRetryMs");
        Check.that(suspicionMs > 0 && tombstoneMs > suspicionMs, "tombstoneMs must exceed suspicionMs");
        Check.that(syncIntervalMs > 0 && reconnectIntervalMs > 0, "intervals must be positive");
        Check.that(
                typicalDatagramBytes >= 300 && typicalDatagramBytes <= maxDatagramBytes && maxDatagramBytes <= 1200,
                "datagram sizes must be from 300 to 1200 bytes");
    }

    /**
     * Returns the default settings.
     *
     * @param fleet the fleet's name
     * @return settings with which the membership traffic stays below 3 KB/s per daemon
     */
    public static MembershipSettings defaults(String fleet) {
        return new MembershipSettings(fleet, 1000, 400, 2000, 4000, 10_000, 5000, 7_200_000, 420, 1200);
    }
}
