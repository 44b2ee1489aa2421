package org.celerygw.core.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class UnsentBytesTest {
    private static final long MAX_BYTES = 12 << 20;
    private static final int READ_BYTES = 16_384;
    private static final int SLOW_READERS = 1_000;

    /** The load: a thousand clients that read nothing, at a host that has 12 MiB for what they do not take. */
    @Test
    public void thousandSlowReadersStayWithinTheBound() {
        UnsentBytes unsent = new UnsentBytes(MAX_BYTES);
        long[] held = new long[SLOW_READERS];
        for (int round = 0; round < 100; round++) {
            for (int i = 0; i < SLOW_READERS; i++) {
                if (!unsent.mustPause(held[i])) {
                    held[i] += READ_BYTES;
                    unsent.add(READ_BYTES);
                }
            }
        }
        assertTrue(unsent.bytes() <= MAX_BYTES + (long) SLOW_READERS * READ_BYTES, unsent.bytes() + " bytes");
        // A client that takes everything is not held up by them.
        assertFalse(unsent.mustPause(0));
        assertTrue(unsent.mayResume(0));
    }

    /** Guards against a single slow client that takes the whole bound, and against a pause that ends too late. */
    @Test
    public void oneSlowReaderHoldsLittleAndGoesOnAtHalf() {
        UnsentBytes unsent = new UnsentBytes(MAX_BYTES);
        long held = 0;
        while (!unsent.mustPause(held)) {
            held += READ_BYTES;
            unsent.add(READ_BYTES);
        }
        assertEquals(held, (256 << 10) + READ_BYTES);
        assertFalse(unsent.mayResume(held));
        unsent.remove(held / 2 + READ_BYTES);
        assertTrue(unsent.mayResume(held / 2 - READ_BYTES));
    }
}
