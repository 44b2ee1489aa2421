package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * The name of a priority class.
 *
 * @param value the name: 1 to 200 characters that {@link Check#name} permits
 */
public record PriorityClassName(String value) implements Comparable<PriorityClassName> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
     */
    public PriorityClassName {
        Check.name(value, "PriorityClassName");
    }

    @Override
    public int compareTo(PriorityClassName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
