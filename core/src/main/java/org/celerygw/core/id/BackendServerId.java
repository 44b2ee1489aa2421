package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Identifies one incarnation of a backend server: after a restart at the same address, the id is another one.
 *
 * @param value the id: 1 to 200 characters that {@link Check#name} permits
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    /**
     * Checks the id.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
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
