package org.celerygw.core.routing;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.PriorityClassName;

/**
 * A priority class of the configuration.
 *
 * @param name the name by which calls refer to the class
 * @param rank the rank; calls of rank 0 are served first
 * @param ageingMs how much longer a call must have waited to start before a call of the next better rank
 */
public record PriorityClassInfo(PriorityClassName name, int rank, long ageingMs) {
    /**
     * Checks the rank and the ageing interval.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is negative
     */
    public PriorityClassInfo {
        Check.notNegative(rank, "rank");
        Check.notNegative(ageingMs, "ageingMs");
    }
}
