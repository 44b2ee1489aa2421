package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names a customer, to whom programs, budgets and caller keys belong.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
     */
    public CustomerId {
        Check.name(value, "CustomerId");
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
