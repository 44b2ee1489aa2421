package org.celerygw.core.membership;

/** Accepts each sequence number of one sender at most once, also out of order within the window. */
final class ReplayWindow {
    private static final int WIDTH = 64;

    private long highest;
    private long seen;

    /** Returns true when the number is new; numbers too old to tell count as seen. */
    boolean accept(long sequence) {
        if (sequence <= 0) {
            return false;
        }
        if (sequence > highest) {
            long shift = sequence - highest;
            seen = shift >= WIDTH ? 1 : seen << shift | 1;
            highest = sequence;
            return true;
        }
        long age = highest - sequence;
        if (age >= WIDTH || (seen >>> age & 1) == 1) {
            return false;
        }
        seen |= 1L << age;
        return true;
    }
}
