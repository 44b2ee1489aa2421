package org.celerygw.core.routing;

/**
 * Circuit breaker of one engine. Consecutive failures eject the engine, and each further ejection lasts twice as long.
 * After an ejection the engine may run one call, and twice as many after each success.
 */
final class EngineCircuitBreaker {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long INITIAL_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 30_000;
    private static final int UNLIMITED_CALLS = Integer.MAX_VALUE;
    private static final int RECOVERED_CALLS = 64;

    private int consecutiveFailures;
    private int consecutiveEjections;
    private long ejectedUntilMs;
    private int allowedCalls = UNLIMITED_CALLS;

    void recordFailure(long nowMs) {
        consecutiveFailures++;
        boolean recovering = allowedCalls < UNLIMITED_CALLS;
        if (consecutiveFailures >= FAILURES_TO_EJECT || recovering) {
            eject(nowMs);
        }
    }

    private void eject(long nowMs) {
        if (nowMs < ejectedUntilMs) {
            return;
        }
        long ejectionMs = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS << Math.min(consecutiveEjections, 10));
        consecutiveEjections++;
        ejectedUntilMs = nowMs + ejectionMs;
        allowedCalls = 1;
        consecutiveFailures = 0;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        if (allowedCalls == UNLIMITED_CALLS) {
            return;
        }
        allowedCalls *= 2;
        if (allowedCalls >= RECOVERED_CALLS) {
            allowedCalls = UNLIMITED_CALLS;
            consecutiveEjections = 0;
        }
    }

    boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    boolean admits(int localCalls, long nowMs) {
        return !isEjected(nowMs) && localCalls < allowedCalls;
    }
}
