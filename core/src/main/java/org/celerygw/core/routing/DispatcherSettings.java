package org.celerygw.core.routing;

import org.celerygw.core.helper.Check;

/**
 * The weights and limits of a dispatcher.
 *
 * @param fleetHosts the number of daemons that share the engines, including this one
 * @param sampledEngines the number of randomly chosen engines considered for a call, besides those that hold its prefix
 * @param maxWaitingCalls the maximum length of the queue; beyond it the last call in queue order is dropped
 * @param newProgramWaitMs the expected wait beyond which the first call of a program is refused; less for lower classes
 * @param initialEngineCalls the number of calls that an engine is assumed to run concurrently, until its load
 *     reports show a better value
 * @param engineQueue the number of calls that may wait inside an engine in addition to its batch
 * @param prefillInterference the delay that a millisecond of prefill causes to each other call of the engine,
 *     in milliseconds
 * @param minMoveWaitMs the minimum wait for a full engine, usually the one that holds the prefix, before the
 *     call goes to a more costly engine; the wait is longer when the difference in cost is larger
 * @param crossZoneCostMs the added cost of an engine in another availability zone
 * @param attainedDelayMsPerKilotoken how far a call moves back in the queue per thousand tokens already served
 *     to its program
 * @param maxAttainedDelayMs the maximum by which tokens already served move a call back
 * @param prefillDelayFactor how many milliseconds a call moves back inside an engine per millisecond of prefill
 * @param maxPrefillDelayMs the maximum by which prefill moves a call back inside an engine
 * @param releaseRetryIntervalMs the interval at which an unconfirmed release request is sent again
 */
public record DispatcherSettings(
        int fleetHosts,
        int sampledEngines,
        int maxWaitingCalls,
        long newProgramWaitMs,
        int initialEngineCalls,
        int engineQueue,
        double prefillInterference,
        long minMoveWaitMs,
        long crossZoneCostMs,
        double attainedDelayMsPerKilotoken,
        long maxAttainedDelayMs,
        double prefillDelayFactor,
        long maxPrefillDelayMs,
        long releaseRetryIntervalMs) {
    /** The default settings, for a fleet of 12 daemons. */
    public static final DispatcherSettings DEFAULT =
            new DispatcherSettings(12, 8, 2_000, 2_000, 48, 4, 0.4, 100, 2, 0, 2_000, 8, 9_000, 1_000);

    /**
     * Checks the counts and the maximum wait.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public DispatcherSettings {
        Check.that(fleetHosts >= 1, "fleetHosts must be at least 1");
        Check.that(sampledEngines >= 1, "sampledEngines must be at least 1");
        Check.that(maxWaitingCalls >= 1, "maxWaitingCalls must be at least 1");
        Check.that(initialEngineCalls >= 1, "initialEngineCalls must be at least 1");
        Check.notNegative(engineQueue, "engineQueue");
        Check.notNegative(newProgramWaitMs, "newProgramWaitMs");
    }

    /**
     * Returns a copy of these settings for a fleet of another size.
     *
     * @param hosts the number of daemons that share the engines, including this one
     * @return settings that are otherwise equal to these
     */
    public DispatcherSettings withFleetHosts(int hosts) {
        return new DispatcherSettings(
                hosts,
                sampledEngines,
                maxWaitingCalls,
                newProgramWaitMs,
                initialEngineCalls,
                engineQueue,
                prefillInterference,
                minMoveWaitMs,
                crossZoneCostMs,
                attainedDelayMsPerKilotoken,
                maxAttainedDelayMs,
                prefillDelayFactor,
                maxPrefillDelayMs,
                releaseRetryIntervalMs);
    }
}
