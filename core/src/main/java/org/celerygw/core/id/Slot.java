package org.celerygw.core.id;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.celerygw.core.helper.Check;

/**
 * One of the fixed number of hash partitions of the programs; each slot is owned by one host at a time.
 *
 * @param number the number of the slot, from 0 to {@link #COUNT} - 1
 */
public record Slot(int number) implements Comparable<Slot> {
    /** Number of slots; must never change during the life of a deployment. */
    public static final int COUNT = 4096;

    /**
     * Checks the number.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if it is out of range
     */
    public Slot {
        Check.that(number >= 0 && number < COUNT, "slot must be from 0 to 4095");
    }

    static Slot of(ProgramId program) {
        long hash = Hashing.murmur3_128()
                .hashString(program.value(), StandardCharsets.UTF_8)
                .asLong();
        return new Slot((int) Math.floorMod(hash, (long) COUNT));
    }

    @Override
    public int compareTo(Slot other) {
        return Integer.compare(number, other.number);
    }
}
