package org.celerygw.core.routes;

import org.celerygw.core.helper.Check;

/**
 * A limit on the requests of a customer, over all hosts together (token bucket).
 *
 * @param perS the sustained rate, in requests per second; infinite for no limit
 * @param burst how many requests may exceed the sustained rate at once
 */
public record RateLimit(double perS, double burst) {
    /** No limit. */
    public static final RateLimit NONE = new RateLimit(Double.POSITIVE_INFINITY, 0);

    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when the rate is not positive or the
     *     burst is negative or not finite
     */
    public RateLimit {
        Check.that(perS > 0, "perS must be positive");
        Check.that(burst >= 0 && burst < Double.POSITIVE_INFINITY, "burst must not be negative");
    }

    /**
     * Returns whether requests are limited at all.
     *
     * @return false for {@link #NONE}
     */
    public boolean isLimited() {
        return perS < Double.POSITIVE_INFINITY;
    }
}
