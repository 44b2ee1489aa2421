package org.celerygw.core.membership;

/** Bounds how many datagrams are pushed: a steady rate and a burst. */
final class Pacer {
    private static final double PER_MS = 0.002;
    private static final double BURST = 16;

    private double tokens = BURST;
    private long lastMs;

    /** Takes up to {@code wanted} permits and returns how many there were. */
    int take(int wanted, long nowMs) {
        tokens = Math.min(BURST, tokens + Math.max(0, nowMs - lastMs) * PER_MS);
        lastMs = nowMs;
        int taken = (int) Math.min(wanted, tokens);
        tokens -= taken;
        return taken;
    }
}
