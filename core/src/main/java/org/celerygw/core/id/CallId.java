package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Identifies a call by its program and its position in the program's sequence of calls.
 *
 * @param program the id of the program
 * @param number the number of the call in the program, starting at 1
 */
public record CallId(ProgramId program, long number) {
    /**
     * Checks the number.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is less than 1
     */
    public CallId {
        Check.that(number >= 1, "call number must be at least 1");
    }

    @Override
    public String toString() {
        return program + "#" + number;
    }
}
