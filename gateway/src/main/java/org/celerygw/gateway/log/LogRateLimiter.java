package org.celerygw.gateway.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many log lines of each kind are written per second, with separate limits for ordinary lines and warnings;
 * a warning is dropped only when its own kind is too frequent. The kind of a line is its message without arguments.
 * Not thread-safe.
 */
final class LogRateLimiter {
    private static final long WINDOW_MS = 1_000;

    private final int maxOrdinaryPerSecond;
    private final int maxWarningsPerSecond;
    private final Map<String, Integer> countsByKind = new HashMap<>();
    private long windowStartMs;
    private long dropped;

    /**
     * Creates a limiter without counted lines.
     *
     * @param maxOrdinaryPerSecond maximum number of ordinary lines of one kind per second
     * @param maxWarningsPerSecond maximum number of warnings and errors of one kind per second
     */
    LogRateLimiter(int maxOrdinaryPerSecond, int maxWarningsPerSecond) {
        this.maxOrdinaryPerSecond = maxOrdinaryPerSecond;
        this.maxWarningsPerSecond = maxWarningsPerSecond;
    }

    /** Counts a line and returns whether it may be written now; if not, counts it as dropped. */
    boolean tryAcquire(String kind, boolean warning, long nowMs) {
        if (nowMs - windowStartMs >= WINDOW_MS) {
            windowStartMs = nowMs;
            countsByKind.clear();
        }
        int count = countsByKind.merge(kind, 1, Integer::sum);
        boolean allowed = count <= (warning ? maxWarningsPerSecond : maxOrdinaryPerSecond);
        if (!allowed) {
            dropped++;
        }
        return allowed;
    }

    /** Counts a line that was dropped for another reason, such as a full queue. */
    void countDropped() {
        dropped++;
    }

    /** Returns the number of lines dropped since the last call, and resets it. */
    long takeDroppedCount() {
        long count = dropped;
        dropped = 0;
        return count;
    }
}
