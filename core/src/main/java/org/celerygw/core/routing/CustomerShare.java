package org.celerygw.core.routing;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;

/**
 * What a customer may use.
 *
 * @param customer the customer
 * @param share its weight among customers under contention; 1 is usual
 * @param maxCalls the most calls under way or waiting in the whole fleet; 0 for no limit
 */
public record CustomerShare(CustomerId customer, double share, int maxCalls) {
    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public CustomerShare {
        Check.that(share > 0, "share must be positive");
        Check.notNegative(maxCalls, "maxCalls");
    }
}
