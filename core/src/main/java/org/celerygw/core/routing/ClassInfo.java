package org.celerygw.core.routing;

import org.celerygw.core.helper.Check;
import org.celerygw.core.id.PriorityClassName;

/**
 * A priority class.
 *
 * @param name its name
 * @param rank its place; 0 goes first
 * @param ageingMs a call that has waited this much longer passes a call of the next better rank
 */
public record ClassInfo(PriorityClassName name, int rank, long ageingMs) {
    /**
     * Checks the numbers.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when one is negative
     */
    public ClassInfo {
        Check.notNegative(rank, "rank");
        Check.notNegative(ageingMs, "ageingMs");
    }
}
