package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;

/**
 * The pace of membership. A dead member is found within about {@code 2 * probeIntervalMs + probeTimeoutMs +
 * suspicionMs}.
 *
 * @param fleet the fleet's name; datagrams of another fleet are dropped
 * @param probeIntervalMs one member is probed in each interval
 * @param probeRetryMs an unanswered ping is repeated after this time, in part through other members
 * @param probeTimeoutMs a probe without answer makes its target suspect after this time
 * @param suspicionMs a suspect that does not refute in this time is dead
 * @param syncIntervalMs how often the whole state is compared with a random member
 * @param reviveIntervalMs how often a dead or listed but unknown member is tried
 * @param tombstoneMs how long a dead member is remembered and tried
 * @param datagramBytes the usual size of a datagram, which bounds the constant cost
 * @param maxDatagramBytes the largest datagram
 */
public record MembershipSettings(
        String fleet,
        long probeIntervalMs,
        long probeRetryMs,
        long probeTimeoutMs,
        long suspicionMs,
        long syncIntervalMs,
        long reviveIntervalMs,
        long tombstoneMs,
        int datagramBytes,
        int maxDatagramBytes) {
    /**
     * Checks the values.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public MembershipSettings {
        Check.name(fleet, "fleet");
        Check.that(probeRetryMs > 0 && probeIntervalMs > 0, "intervals must be positive");
        Check.that(probeTimeoutMs > probeRetryMs, "probeTimeoutMs must exceed probeRetryMs");
        Check.that(suspicionMs > 0 && tombstoneMs > suspicionMs, "tombstoneMs must exceed suspicionMs");
        Check.that(syncIntervalMs > 0 && reviveIntervalMs > 0, "intervals must be positive");
        Check.that(
                datagramBytes >= 300 && datagramBytes <= maxDatagramBytes && maxDatagramBytes <= 1200,
                "datagram sizes must be from 300 to 1200 bytes");
    }

    /**
     * Returns the usual pace.
     *
     * @param fleet the fleet's name
     * @return settings under which control stays below 3 KB/s for each daemon
     */
    public static MembershipSettings defaults(String fleet) {
        return new MembershipSettings(fleet, 1000, 400, 2000, 4000, 10_000, 5000, 7_200_000, 420, 1200);
    }
}
