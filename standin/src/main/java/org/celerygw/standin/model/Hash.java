package org.celerygw.standin.model;

/** Mixes two numbers into one 64-bit hash with the constants of SplitMix64. */
final class Hash {
    private Hash() {}

    static long mix(long a, long b) {
        long h = a * 0x9E3779B97F4A7C15L + b;
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }
}
