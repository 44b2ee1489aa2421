package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Identifies a customer, who owns programs, budgets and caller keys.
 *
 * @param value the id: 1 to 200 characters that {@link Check#name} permits
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /**
     * Checks the id.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
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
