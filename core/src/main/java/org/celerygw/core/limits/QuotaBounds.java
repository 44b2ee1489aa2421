package org.celerygw.core.limits;

import org.celerygw.core.routes.RateLimit;

/**
 * How closely the quotas of customers are kept: in each sliding window, a customer's requests may number at most
 * (rate x window + burst) x (1 + overage) + slack.
 *
 * @param windowMs the length of the sliding window, in ms
 * @param overage the share by which a quota may be exceeded within a window
 * @param slack the number of requests by which it may be exceeded besides
 */
public record QuotaBounds(long windowMs, double overage, double slack) {
    private static final double MS_PER_SECOND = 1_000;

    /**
     * Returns by how many requests a limit may be exceeded within a window.
     *
     * @param limit the limit
     * @return the number of requests beyond rate x window + burst
     */
    double excess(RateLimit limit) {
        return overage * (limit.perS() * windowMs / MS_PER_SECOND + limit.burst()) + slack;
    }
}
