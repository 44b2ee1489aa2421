package org.celerygw.core.routing;

import java.util.ArrayDeque;

/** What this host knows and has learned of one engine. */
final class Engine {
    private static final double DEFAULT_PREFILL_MS = 0.2;
    private static final double DEFAULT_TOKEN_MS = 25;
    private static final double LEARN_RATE = 0.1;
    private static final double MIN_PREFILL_MS = 0.01;
    private static final double MAX_PREFILL_MS = 10;
    private static final int MIN_PREFILL_TOKENS = 256;
    static final int MIN_OUTPUT_TOKENS = 8;
    private static final int MIN_LIMIT = 2;
    private static final int CROWDED_REPORTS = 4;
    private static final double SPEED_MEMORY_MS = 30_000;

    EngineInfo info;
    final Health health = new Health();

    private final ArrayDeque<Started> starts = new ArrayDeque<>();
    private final ArrayDeque<Long> ends = new ArrayDeque<>();
    private LoadReport report = new LoadReport(0, 0, 0, 0, 0);
    private int ownCalls;
    private long startedPrefillTokens;
    private double prefillMs = DEFAULT_PREFILL_MS;
    private double tokenMs = DEFAULT_TOKEN_MS;
    private long learnedAtMs = Long.MIN_VALUE / 2;
    private int crowdedReports;
    private double limit;
    private boolean gone;

    Engine(EngineInfo info, int limit) {
        this.info = info;
        this.limit = limit;
    }

    private record Started(long atMs, long prefillTokens) {}

    void started(long prefillTokens, long nowMs) {
        ownCalls++;
        starts.add(new Started(nowMs, prefillTokens));
        startedPrefillTokens += prefillTokens;
    }

    void ended(long startedAtMs, long nowMs) {
        ownCalls--;
        if (startedAtMs <= report.asOfMs()) {
            ends.add(nowMs);
        } else {
            // The last report has not counted this call, so its end must not be subtracted from it.
            forgetStart(startedAtMs);
        }
    }

    private void forgetStart(long startedAtMs) {
        starts.stream().filter(s -> s.atMs == startedAtMs).findFirst().ifPresent(s -> {
            starts.remove(s);
            startedPrefillTokens -= s.prefillTokens;
        });
    }

    void reported(LoadReport next, int engineQueue) {
        if (next.asOfMs() < report.asOfMs()) {
            return;
        }
        report = next;
        while (!starts.isEmpty() && starts.peekFirst().atMs <= next.asOfMs()) {
            startedPrefillTokens -= starts.removeFirst().prefillTokens;
        }
        while (!ends.isEmpty() && ends.peekFirst() <= next.asOfMs()) {
            ends.removeFirst();
        }
        adaptLimit(engineQueue);
    }

    /** Calls that wait in report after report mean that the batch is as large as the engine can make it. */
    private void adaptLimit(int engineQueue) {
        crowdedReports = report.waiting() > engineQueue ? crowdedReports + 1 : 0;
        if (crowdedReports >= CROWDED_REPORTS) {
            limit = Math.max(MIN_LIMIT, Math.min(limit, report.running()));
        } else if (report.running() >= limit - 1) {
            limit = Math.max(limit, report.running()) + 1;
        }
    }

    void learnPrefill(double waitMs, double tokens) {
        if (tokens < MIN_PREFILL_TOKENS) {
            return;
        }
        double sample = Math.max(MIN_PREFILL_MS, Math.min(MAX_PREFILL_MS, waitMs / tokens));
        prefillMs += LEARN_RATE * (sample - prefillMs);
    }

    void learnToken(double spanMs, int tokens, long nowMs) {
        if (tokens < MIN_OUTPUT_TOKENS) {
            return;
        }
        tokenMs += LEARN_RATE * (spanMs / tokens - tokenMs);
        learnedAtMs = nowMs;
    }

    /** Calls in the engine now: the last report, corrected by what this host has started and seen end since. */
    int calls() {
        int estimate = report.running() + report.waiting() + starts.size() - ends.size();
        return Math.max(ownCalls, estimate);
    }

    /** Prompt tokens still to compute before those of a call that starts now. */
    double queuedTokens(long nowMs) {
        double drained = Math.max(0, nowMs - report.asOfMs()) / prefillMs;
        return startedPrefillTokens + Math.max(0, report.queuedPrefillTokens() - drained);
    }

    boolean hasRoom(int rank, int engineQueue) {
        // The best class may use the engine's own queue, where its priority puts it first.
        double allowed = rank == 0 ? limit + engineQueue : limit;
        return calls() < allowed;
    }

    /** Time per output token, drawn back to the usual one as the last sample grows old. */
    double tokenMs(double usualMs, long nowMs) {
        double weight = Math.max(0, 1 - (nowMs - learnedAtMs) / SPEED_MEMORY_MS);
        return usualMs + (tokenMs - usualMs) * weight;
    }

    boolean takesWork() {
        return !gone && !info.leaving();
    }

    void leave() {
        info = new EngineInfo(info.id(), info.zone(), info.models(), true);
    }

    void markGone() {
        gone = true;
    }

    boolean isGone() {
        return gone;
    }

    int ownCalls() {
        return ownCalls;
    }

    long cacheAgeMs() {
        return report.cacheAgeMs();
    }

    double limit() {
        return limit;
    }

    double prefillMs() {
        return prefillMs;
    }
}
