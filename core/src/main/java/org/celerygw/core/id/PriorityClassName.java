package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names a priority class.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record PriorityClassName(String value) implements Comparable<PriorityClassName> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
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
