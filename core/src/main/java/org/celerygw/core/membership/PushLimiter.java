package org.celerygw.core.membership;

/** A token bucket that limits the number of pushed datagrams: 2 per second, with bursts of up to 16. */
final class PushLimiter {
    private static final double PERMITS_PER_MS = 0.002;
    private static final double BURST_PERMITS = 16;

    private double permits = BURST_PERMITS;
    private long lastRefillMs;

    /** Acquires up to {@code wanted} permits without waiting and returns the number acquired. */
    int acquireUpTo(int wanted, long nowMs) {
        permits = Math.min(BURST_PERMITS, permits + Math.max(0, nowMs - lastRefillMs) * PERMITS_PER_MS);
        lastRefillMs = nowMs;
        int acquired = (int) Math.min(wanted, permits);
        permits -= acquired;
        return acquired;
    }
}
