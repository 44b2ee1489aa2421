package org.celerygw.core.routing;

import java.util.ArrayDeque;

/** One engine as this host knows it: its configuration, its last load report, its measured speed and its failures. */
final class EngineState {
    private static final double DEFAULT_PREFILL_MS_PER_TOKEN = 0.2;
    private static final double DEFAULT_DECODE_MS_PER_TOKEN = 25;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double MIN_PREFILL_MS_PER_TOKEN = 0.01;
    private static final double MAX_PREFILL_MS_PER_TOKEN = 10;
    private static final int MIN_PREFILL_SAMPLE_TOKENS = 256;
    static final int MIN_DECODE_SAMPLE_TOKENS = 8;
    private static final int MIN_CONCURRENCY_LIMIT = 2;
    private static final int OVERLOADED_REPORTS_TO_LOWER_LIMIT = 4;
    private static final double DECODE_SAMPLE_LIFETIME_MS = 30_000;

    EngineInfo info;
    final EngineCircuitBreaker circuitBreaker = new EngineCircuitBreaker();

    private final ArrayDeque<UnreportedStart> startsSinceReport = new ArrayDeque<>();
    private final ArrayDeque<Long> endsSinceReport = new ArrayDeque<>();
    private LoadReport lastReport = new LoadReport(0, 0, 0, 0, 0);
    private int localCalls;
    private long unreportedPrefillTokens;
    private double prefillMsPerToken = DEFAULT_PREFILL_MS_PER_TOKEN;
    private double decodeMsPerToken = DEFAULT_DECODE_MS_PER_TOKEN;
    private long decodeSampledAtMs = Long.MIN_VALUE / 2;
    private int consecutiveOverloadedReports;
    private double concurrencyLimit;
    private boolean lost;

    EngineState(EngineInfo info, int initialConcurrencyLimit) {
        this.info = info;
        this.concurrencyLimit = initialConcurrencyLimit;
    }

    /** A call of this host that the last load report does not include. */
    private record UnreportedStart(long startedAtMs, long prefillTokens) {}

    void callStarted(long prefillTokens, long nowMs) {
        localCalls++;
        startsSinceReport.add(new UnreportedStart(nowMs, prefillTokens));
        unreportedPrefillTokens += prefillTokens;
    }

    void callEnded(long startedAtMs, long nowMs) {
        localCalls--;
        if (startedAtMs <= lastReport.asOfMs()) {
            endsSinceReport.add(nowMs);
        } else {
            // The last report does not include this call, so its end must not be subtracted from that report.
            removeStart(startedAtMs);
        }
    }

    private void removeStart(long startedAtMs) {
        startsSinceReport.stream()
                .filter(s -> s.startedAtMs == startedAtMs)
                .findFirst()
                .ifPresent(s -> {
                    startsSinceReport.remove(s);
                    unreportedPrefillTokens -= s.prefillTokens;
                });
    }

    void loadReported(LoadReport report, int maxQueuedCalls) {
        if (report.asOfMs() < lastReport.asOfMs()) {
            return;
        }
        lastReport = report;
        while (!startsSinceReport.isEmpty() && startsSinceReport.peekFirst().startedAtMs <= report.asOfMs()) {
            unreportedPrefillTokens -= startsSinceReport.removeFirst().prefillTokens;
        }
        while (!endsSinceReport.isEmpty() && endsSinceReport.peekFirst() <= report.asOfMs()) {
            endsSinceReport.removeFirst();
        }
        adjustConcurrencyLimit(maxQueuedCalls);
    }

    /**
     * Adapts the concurrency limit to the size of the engine's batch. Calls that are queued inside the engine in
     * several consecutive reports show that the batch cannot grow further.
     */
    private void adjustConcurrencyLimit(int maxQueuedCalls) {
        consecutiveOverloadedReports = lastReport.queuedCalls() > maxQueuedCalls ? consecutiveOverloadedReports + 1 : 0;
        if (consecutiveOverloadedReports >= OVERLOADED_REPORTS_TO_LOWER_LIMIT) {
            concurrencyLimit = Math.max(MIN_CONCURRENCY_LIMIT, Math.min(concurrencyLimit, lastReport.runningCalls()));
        } else if (lastReport.runningCalls() >= concurrencyLimit - 1) {
            concurrencyLimit = Math.max(concurrencyLimit, lastReport.runningCalls()) + 1;
        }
    }

    void recordPrefillSample(double waitMs, double tokens) {
        if (tokens < MIN_PREFILL_SAMPLE_TOKENS) {
            return;
        }
        double sample = Math.max(MIN_PREFILL_MS_PER_TOKEN, Math.min(MAX_PREFILL_MS_PER_TOKEN, waitMs / tokens));
        prefillMsPerToken += SMOOTHING_FACTOR * (sample - prefillMsPerToken);
    }

    void recordDecodeSample(double spanMs, int tokens, long nowMs) {
        if (tokens < MIN_DECODE_SAMPLE_TOKENS) {
            return;
        }
        decodeMsPerToken += SMOOTHING_FACTOR * (spanMs / tokens - decodeMsPerToken);
        decodeSampledAtMs = nowMs;
    }

    /**
     * Estimates the calls in the engine: the last report, corrected by the calls of this host that started or ended
     * since.
     */
    int estimatedCalls() {
        int estimate = lastReport.runningCalls()
                + lastReport.queuedCalls()
                + startsSinceReport.size()
                - endsSinceReport.size();
        return Math.max(localCalls, estimate);
    }

    /** Estimates the prompt tokens that the engine still has to compute before those of a call that starts now. */
    double queuedPrefillTokens(long nowMs) {
        double computedTokens = Math.max(0, nowMs - lastReport.asOfMs()) / prefillMsPerToken;
        return unreportedPrefillTokens + Math.max(0, lastReport.queuedPrefillTokens() - computedTokens);
    }

    boolean hasRoom(int rank, int maxQueuedCalls) {
        // The best class may also use the queue inside the engine, where its priority puts it first.
        double allowed = rank == 0 ? concurrencyLimit + maxQueuedCalls : concurrencyLimit;
        return estimatedCalls() < allowed;
    }

    /** Returns the time per output token, which moves towards the host-wide average as the last sample grows old. */
    double decodeMsPerToken(double averageMsPerToken, long nowMs) {
        double weight = Math.max(0, 1 - (nowMs - decodeSampledAtMs) / DECODE_SAMPLE_LIFETIME_MS);
        return averageMsPerToken + (decodeMsPerToken - averageMsPerToken) * weight;
    }

    boolean acceptsWork() {
        return !lost && !info.leaving();
    }

    void markLeaving() {
        info = new EngineInfo(info.id(), info.zone(), info.models(), true);
    }

    void markLost() {
        lost = true;
    }

    boolean isLost() {
        return lost;
    }

    int localCalls() {
        return localCalls;
    }

    long evictionIdleMs() {
        return lastReport.evictionIdleMs();
    }

    double concurrencyLimit() {
        return concurrencyLimit;
    }

    double prefillMsPerToken() {
        return prefillMsPerToken;
    }
}
