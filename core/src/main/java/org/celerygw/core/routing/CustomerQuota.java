package org.celerygw.core.routing;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;

/**
 * The fair share and the call limit of a customer.
 *
 * @param customer the customer to which the quota applies
 * @param share the weight among the customers that compete for engines; 1 is the default
 * @param maxCalls the maximum number of running and queued calls in the fleet; 0 for no limit
 */
public record CustomerQuota(CustomerId customer, double share, int maxCalls) {
    /**
     * Checks the share and the limit.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is out of range
     */
    public CustomerQuota {
        Check.that(share > 0, "share must be positive");
        Check.notNegative(maxCalls, "maxCalls");
    }
}
