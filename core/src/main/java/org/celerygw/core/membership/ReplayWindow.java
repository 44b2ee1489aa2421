package org.celerygw.core.membership;

/** Accepts each sequence number of one sender at most once, in any order within a window of the last 64 numbers. */
final class ReplayWindow {
    private static final int WINDOW_BITS = 64;

    private long highest;
    /** Bit {@code i} is set when the number {@code highest - i} was accepted. */
    private long seenBits;

    /** Returns whether the sequence number is new; numbers below the window count as seen. */
    boolean accept(long sequence) {
        if (sequence <= 0) {
            return false;
        }
        if (sequence > highest) {
            long shift = sequence - highest;
            seenBits = shift >= WINDOW_BITS ? 1 : seenBits << shift | 1;
            highest = sequence;
            return true;
        }
        long age = highest - sequence;
        if (age >= WINDOW_BITS || (seenBits >>> age & 1) == 1) {
            return false;
        }
        seenBits |= 1L << age;
        return true;
    }
}
