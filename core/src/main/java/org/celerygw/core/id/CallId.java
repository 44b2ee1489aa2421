package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names one call: its program and its place in the program's order.
 *
 * @param program the program
 * @param number the call's number in the program, from 1
 */
public record CallId(ProgramId program, long number) {
    /**
     * Checks the number.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is below 1
     */
    public CallId {
        Check.that(number >= 1, "call number must be at least 1");
    }

    @Override
    public String toString() {
        return program + "#" + number;
    }
}
