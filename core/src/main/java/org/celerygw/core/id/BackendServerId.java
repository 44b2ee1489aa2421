package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names one incarnation of a backend server: the same address started again is another one.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
     */
    public BackendServerId {
        Check.name(value, "BackendServerId");
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
