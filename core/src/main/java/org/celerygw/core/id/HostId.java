package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Identifies one incarnation of a daemon on a host: after a restart, the id is another one.
 *
 * @param value the id: 1 to 200 characters that {@link Check#name} permits
 */
public record HostId(String value) implements Comparable<HostId> {
    /**
     * Checks the id.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
     */
    public HostId {
        Check.name(value, "HostId");
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
