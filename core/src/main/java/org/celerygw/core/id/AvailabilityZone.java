package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * The name of an availability zone.
 *
 * @param value the name: 1 to 200 characters that {@link Check#name} permits
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
     */
    public AvailabilityZone {
        Check.name(value, "AvailabilityZone");
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
