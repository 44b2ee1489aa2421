package org.celerygw.core.routing;

import org.celerygw.core.helper.Check;

/**
 * How a dispatcher weighs and limits.
 *
 * @param fleetHosts the daemons that share the engines, this one included
 * @param choices engines weighed for a call besides those that hold its prefix
 * @param maxWaiting the most calls that wait here; beyond it the last in order is dropped
 * @param newProgramWaitMs the expected wait beyond which the first call of a program is refused
 * @param engineLimit the calls that an engine runs at once, until its reports teach better
 * @param engineQueue the calls that may wait inside an engine, beyond its batch
 * @param rebuildWeight what a millisecond of rebuilding costs each other call of the engine, in milliseconds
 * @param moveMarginMs what must be gained for a program to leave the engine that holds its prefix
 * @param zoneCostMs what a call to another zone costs
 * @param attainedWeightMs how far a program's place moves back per thousand tokens served to it
 * @param attainedCapMs the most that attained service moves a program back
 * @param prefillWeight how far a call moves back inside an engine per millisecond of prompt to compute
 * @param prefillCapMs the most that its prompt moves a call back
 * @param releaseRetryMs how often a release is repeated until confirmed
 */
public record DispatcherSettings(
        int fleetHosts,
        int choices,
        int maxWaiting,
        long newProgramWaitMs,
        int engineLimit,
        int engineQueue,
        double rebuildWeight,
        long moveMarginMs,
        long zoneCostMs,
        double attainedWeightMs,
        long attainedCapMs,
        double prefillWeight,
        long prefillCapMs,
        long releaseRetryMs) {
    /** Settings for a deployment of today's size. */
    public static final DispatcherSettings DEFAULT =
            new DispatcherSettings(12, 8, 2_000, 2_000, 48, 4, 0.4, 100, 2, 0, 2_000, 8, 9_000, 1_000);

    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public DispatcherSettings {
        Check.that(fleetHosts >= 1, "fleetHosts must be at least 1");
        Check.that(choices >= 1, "choices must be at least 1");
        Check.that(maxWaiting >= 1, "maxWaiting must be at least 1");
        Check.that(engineLimit >= 1, "engineLimit must be at least 1");
        Check.notNegative(engineQueue, "engineQueue");
        Check.notNegative(newProgramWaitMs, "newProgramWaitMs");
    }

    /**
     * Returns these settings for a fleet of another size.
     *
     * @param hosts the daemons that share the engines
     * @return settings that differ in this only
     */
    public DispatcherSettings withFleetHosts(int hosts) {
        return new DispatcherSettings(
                hosts,
                choices,
                maxWaiting,
                newProgramWaitMs,
                engineLimit,
                engineQueue,
                rebuildWeight,
                moveMarginMs,
                zoneCostMs,
                attainedWeightMs,
                attainedCapMs,
                prefillWeight,
                prefillCapMs,
                releaseRetryMs);
    }
}
