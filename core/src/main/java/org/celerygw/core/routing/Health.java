package org.celerygw.core.routing;

/**
 * Ejects an engine whose calls fail in a row and lets work return step by step: after the pause one call, then
 * twice as many with each success.
 */
final class Health {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_PAUSE_MS = 1_000;
    private static final long MAX_PAUSE_MS = 30_000;
    private static final int FULL = Integer.MAX_VALUE;
    private static final int RECOVERED = 64;

    private int failures;
    private int ejections;
    private long ejectedUntilMs;
    private int allowed = FULL;

    void failed(long nowMs) {
        failures++;
        boolean onTrial = allowed < FULL;
        if (failures >= FAILURES_TO_EJECT || onTrial) {
            eject(nowMs);
        }
    }

    private void eject(long nowMs) {
        if (nowMs < ejectedUntilMs) {
            return;
        }
        long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(ejections, 10));
        ejections++;
        ejectedUntilMs = nowMs + pauseMs;
        allowed = 1;
        failures = 0;
    }

    void succeeded() {
        failures = 0;
        if (allowed == FULL) {
            return;
        }
        allowed *= 2;
        if (allowed >= RECOVERED) {
            allowed = FULL;
            ejections = 0;
        }
    }

    boolean ejected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    boolean admits(int ownCalls, long nowMs) {
        return !ejected(nowMs) && ownCalls < allowed;
    }
}
