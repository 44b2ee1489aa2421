package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names a program; unique in the deployment.
 *
 * @param value the name, 1 to 200 plain characters
 */
public record ProgramId(String value) implements Comparable<ProgramId> {
    /**
     * Checks the name.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is not a plain name
     */
    public ProgramId {
        Check.name(value, "ProgramId");
    }

    /**
     * Returns the slot that holds this program on every host and in every release.
     *
     * @return the slot, from 0 to {@link Slot#COUNT} less one
     */
    public Slot slot() {
        return Slot.of(this);
    }

    @Override
    public int compareTo(ProgramId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
