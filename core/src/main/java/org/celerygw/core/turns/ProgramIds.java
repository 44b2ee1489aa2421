package org.celerygw.core.turns;

import java.util.Optional;
import org.celerygw.core.id.CustomerId;

/** Names programs within the store. Customers choose the ids of their programs, so that two may choose the same one. */
public final class ProgramIds {
    /** Occurs neither in a customer's id nor in a header's value, so that no client can name another one's program. */
    private static final char SEPARATOR = '\n';

    private ProgramIds() {}

    /**
     * Returns the id under which a program is stored: with its own budget and turns for each customer.
     *
     * @param customer the customer that runs the program; empty for none
     * @param program the id by which its requests name it
     * @return the same id for a program without a customer
     */
    public static String of(Optional<CustomerId> customer, String program) {
        return customer.map(c -> c.value() + SEPARATOR + program).orElse(program);
    }
}
