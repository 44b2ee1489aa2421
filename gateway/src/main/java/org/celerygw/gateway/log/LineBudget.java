package org.celerygw.gateway.log;

import java.util.HashMap;
import java.util.Map;

/**
 * How many lines of each kind may be written a second. Ordinary lines are cut first: a warning is dropped only when its
 * own kind comes too often. Not thread-safe.
 */
final class LineBudget {
    private static final long WINDOW_MS = 1_000;

    private final int ordinary;
    private final int warnings;
    private final Map<String, Integer> written = new HashMap<>();
    private long windowAtMs;
    private long dropped;

    /**
     * Makes a budget.
     *
     * @param ordinary ordinary lines of one kind a second
     * @param warnings warnings and errors of one kind a second
     */
    LineBudget(int ordinary, int warnings) {
        this.ordinary = ordinary;
        this.warnings = warnings;
    }

    /** Returns whether a line may be written now, and counts it. */
    boolean allows(String kind, boolean warning, long nowMs) {
        if (nowMs - windowAtMs >= WINDOW_MS) {
            windowAtMs = nowMs;
            written.clear();
        }
        int count = written.merge(kind, 1, Integer::sum);
        boolean allowed = count <= (warning ? warnings : ordinary);
        if (!allowed) {
            dropped++;
        }
        return allowed;
    }

    /** Notes a line that was dropped for another reason. */
    void drop() {
        dropped++;
    }

    /** Returns how many lines were dropped since the last call. */
    long takeDropped() {
        long taken = dropped;
        dropped = 0;
        return taken;
    }
}
