package org.celerygw.core.id;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.celerygw.core.helper.Check;

/**
 * One of the fixed shares into which programs are divided; a slot has one owner host at a time.
 *
 * @param number from 0 to {@link #COUNT} less one
 */
public record Slot(int number) implements Comparable<Slot> {
    /** How many slots there are; fixed for the life of a deployment. */
    public static final int COUNT = 4096;

    /**
     * Checks the number.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when it is out of range
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
