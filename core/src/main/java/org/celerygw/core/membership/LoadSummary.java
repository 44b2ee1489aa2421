package org.celerygw.core.membership;

import org.celerygw.core.helper.Check;

/**
 * The load of one engine, as its observer saw it.
 *
 * @param observedAtMs when it was observed, by the observer's clock
 * @param queued requests that wait there
 * @param running requests that run there
 * @param cachePermille how full its cache is, from 0 to 1,000
 */
public record LoadSummary(long observedAtMs, int queued, int running, int cachePermille) {
    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public LoadSummary {
        Check.that(observedAtMs >= 0 && queued >= 0 && running >= 0, "load must not be negative");
        Check.that(cachePermille >= 0 && cachePermille <= 1000, "cachePermille must be from 0 to 1000");
    }
}
