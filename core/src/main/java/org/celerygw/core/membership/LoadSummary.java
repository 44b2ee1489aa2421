package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;

/**
 * The load of one engine at the time of one observation.
 *
 * @param observedAtMs when the load was observed, in ms since the epoch by the observer's clock
 * @param queued number of requests that wait in the engine's queue
 * @param running number of requests that the engine is processing
 * @param cachePermille fill level of its cache in thousandths, from 0 to 1,000
 */
public record LoadSummary(long observedAtMs, int queued, int running, int cachePermille) {
    /**
     * Checks the ranges.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a value is out of range
     */
    public LoadSummary {
        Check.that(observedAtMs >= 0 && queued >= 0 && running >= 0, "load must not be negative");
        Check.that(cachePermille >= 0 && cachePermille <= 1000, "cachePermille must be from 0 to 1000");
    }
}
