package org.celerygw.cli.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.standin.model.Deployment;
import org.celerygw.standin.model.EngineModel;
import org.celerygw.standin.model.EngineSpec;

/** What one run measured. Latencies are of programs that arrived after the warm-up. */
final class Measures {
    private static final double FIRST_TOKEN_BOUND_MS = 880;
    private static final double TOKEN_BOUND_MS = 34;
    private static final double DEADLINE_BASE_MS = 30_000;
    private static final double DEADLINE_FACTOR = 2.5;
    private static final int RANKS = 3;

    private final Deployment deployment;
    private final EngineSpec spec;
    private final List<List<Double>> latencyMs = new ArrayList<>();
    private final Map<Integer, List<Double>> slowdowns = new HashMap<>();
    private final double[] longestFirstMs = new double[RANKS];
    private final int[] failedByRank = new int[RANKS];
    private long refused;
    private int failed;
    private int ended;
    private int unfinished;
    private double goodWorkMs;
    private long firstWithin;
    private long firstPossible;
    private long tokensWithin;
    private long tokens;
    private long prefillTokens;
    private long rebuiltTokens;

    Measures(Deployment deployment, EngineSpec spec) {
        this.deployment = deployment;
        this.spec = spec;
        for (int i = 0; i < RANKS; i++) {
            latencyMs.add(new ArrayList<>());
        }
    }

    private static boolean counts(ProgramRun run) {
        return run.trace.arriveMs() >= Scenario.WARM_MS;
    }

    void finished(ProgramRun run, double nowMs) {
        double idealMs = run.trace.idealMs(spec);
        double tookMs = nowMs - run.trace.arriveMs();
        boolean inWindow = nowMs >= Scenario.WARM_MS && nowMs < Scenario.SPAN_MS;
        if (inWindow && tookMs <= DEADLINE_BASE_MS + DEADLINE_FACTOR * idealMs) {
            goodWorkMs += run.trace.costMs(spec);
        }
        if (!counts(run)) {
            return;
        }
        ended++;
        latencyMs.get(run.trace.rank()).add(tookMs);
        slowdowns.computeIfAbsent(run.trace.customer(), c -> new ArrayList<>()).add(tookMs / idealMs);
    }

    void failed(ProgramRun run, double nowMs) {
        if (counts(run) && nowMs > 0) {
            failed++;
            failedByRank[run.trace.rank()]++;
        }
    }

    /** A program still under way at the end counts with the time it has taken so far. */
    void unfinished(ProgramRun run, double nowMs) {
        if (counts(run) && !run.failed) {
            unfinished++;
            latencyMs.get(run.trace.rank()).add(nowMs - run.trace.arriveMs());
        }
    }

    void refused() {
        refused++;
    }

    void first(SimCall call, double nowMs) {
        double tookMs = nowMs - call.offeredMs;
        int rank = call.run.trace.rank();
        longestFirstMs[rank] = Math.max(longestFirstMs[rank], tookMs);
        double steps = Math.ceil((double) call.freshTokens() / spec.chunkTokens());
        if (steps * spec.fullStepMs() <= FIRST_TOKEN_BOUND_MS) {
            firstPossible++;
            firstWithin += tookMs <= FIRST_TOKEN_BOUND_MS ? 1 : 0;
        }
    }

    void tokens(int count, double stepMs) {
        tokens += count;
        tokensWithin += stepMs <= TOKEN_BOUND_MS ? count : 0;
    }

    void engine(EngineModel model) {
        prefillTokens += model.prefillTokens();
        rebuiltTokens += model.rebuiltTokens();
    }

    double latencyMs(double quantile) {
        return quantile(
                latencyMs.stream().flatMap(List::stream).mapToDouble(d -> d).toArray(), quantile);
    }

    double latencyMs(int rank, double quantile) {
        return quantile(latencyMs.get(rank).stream().mapToDouble(d -> d).toArray(), quantile);
    }

    private static double quantile(double[] values, double quantile) {
        if (values.length == 0) {
            return 0;
        }
        Arrays.sort(values);
        return values[(int) Math.min(values.length - 1L, Math.round(quantile * values.length))];
    }

    /** Engine work of programs that ended in time, as a part of what the engines could do. */
    double goodput() {
        return goodWorkMs / (deployment.engines() * (Scenario.SPAN_MS - Scenario.WARM_MS));
    }

    /** Jain's index of the customers' mean slowdown; 1 when all are served alike. */
    double fairness() {
        double[] means = slowdowns.values().stream()
                .mapToDouble(s -> s.stream().mapToDouble(d -> d).average().orElse(1))
                .toArray();
        double sum = Arrays.stream(means).sum();
        double squares = Arrays.stream(means).map(m -> m * m).sum();
        return squares == 0 ? 1 : sum * sum / (means.length * squares);
    }

    /** The p95 slowdown of all customers but the one that floods. */
    double othersSlowdown() {
        return quantile(
                slowdowns.entrySet().stream()
                        .filter(e -> e.getKey() != 0)
                        .flatMap(e -> e.getValue().stream())
                        .mapToDouble(d -> d)
                        .toArray(),
                0.95);
    }

    double longestFirstMs(int rank) {
        return longestFirstMs[rank];
    }

    int failed(int rank) {
        return failedByRank[rank];
    }

    double firstWithin() {
        return firstPossible == 0 ? 1 : (double) firstWithin / firstPossible;
    }

    double tokensWithin() {
        return tokens == 0 ? 1 : (double) tokensWithin / tokens;
    }

    long refusals() {
        return refused;
    }

    int failedPrograms() {
        return failed;
    }

    int endedPrograms() {
        return ended;
    }

    int unfinishedPrograms() {
        return unfinished;
    }

    long rebuiltTokens() {
        return rebuiltTokens;
    }

    long prefillTokens() {
        return prefillTokens;
    }
}
