package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Names a program; unique in the deployment. A sub-agent's id is its parent's id, a slash and a name of its own, so
 * that a program and all its sub-agents live in one slot and spend one budget under one owner.
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
     * Returns the program at the top of this one's family.
     *
     * @return the part before the first slash; this id when there is none
     */
    public ProgramId root() {
        int slash = value.indexOf('/');
        return slash <= 0 ? this : new ProgramId(value.substring(0, slash));
    }

    /**
     * Returns the slot that holds this program on every host and in every release.
     *
     * @return the slot, from 0 to {@link Slot#COUNT} less one
     */
    public Slot slot() {
        return Slot.of(root());
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
