package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names one incarnation of a daemon on a host: a restart yields a new id.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record HostId(String value) implements Comparable<HostId> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
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
