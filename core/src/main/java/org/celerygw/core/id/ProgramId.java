package org.celerygw.core.id;

import org.celerygw.core.helper.Check;

/**
 * Identifies a program within the deployment. The id of a sub-agent is its parent's id, a slash and the sub-agent's own
 * name, so that a program and all its sub-agents are in the same slot, have the same owner and share one budget.
 *
 * @param value the id: 1 to 200 characters that {@link Check#name} permits
 */
public record ProgramId(String value) implements Comparable<ProgramId> {
    /**
     * Checks the id.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is not a plain name
     */
    public ProgramId {
        Check.name(value, "ProgramId");
    }

    /**
     * Returns the id of the top-level program that this one belongs to.
     *
     * @return the part before the first slash; this id if there is none
     */
    public ProgramId root() {
        int slash = value.indexOf('/');
        return slash <= 0 ? this : new ProgramId(value.substring(0, slash));
    }

    /**
     * Returns the slot of this program, which is the same on every host and in every release.
     *
     * @return the slot of the top-level program
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
