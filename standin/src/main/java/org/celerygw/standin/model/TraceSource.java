package org.celerygw.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Makes program traces of a deployment; the same seed gives the same traces. */
public final class TraceSource {
    private static final int MAX_TURNS = 75;
    private static final int MAX_HISTORY_TOKENS = 180_000;
    private static final double INPUT_SPREAD = 0.8;
    private static final double OUTPUT_SPREAD = 0.7;
    private static final double TOOL_SPREAD = 1.0;
    private static final int MAX_TURN_TOKENS = 16_000;
    private static final int SUB_AGENT_BRIEF_TOKENS = 300;
    private static final int SAMPLE = 4_000;
    private static final double BURST_PERIOD_MS = 100_000;
    private static final double BURST_MS = 20_000;
    private static final double BURST_RATE = 1.6;
    private static final double QUIET_RATE = 0.85;

    private final Deployment deployment;
    private final EngineSpec spec;
    private final UniformRandomProvider rng;
    private final long seed;
    private long next;

    /**
     * Makes a source.
     *
     * @param deployment sizes and mix
     * @param spec the engine that load is measured in
     * @param seed the seed
     */
    public TraceSource(Deployment deployment, EngineSpec spec, long seed) {
        this.deployment = deployment;
        this.spec = spec;
        this.seed = seed;
        this.rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Returns programs whose arrivals bring the given load: 1.0 is what all engines together serve when batches are
     * full and each token of a program is computed once.
     *
     * @param load the load
     * @param spanMs the time over which programs arrive
     * @return programs in the order of arrival
     */
    public List<ProgramTrace> programs(double load, double spanMs) {
        double ratePerMs = load * deployment.engines() / meanCostMs();
        List<ProgramTrace> all = new ArrayList<>();
        for (double t = gap(ratePerMs, 0); t < spanMs; t += gap(ratePerMs, t)) {
            all.add(program(t, rng.nextInt(deployment.customers())));
        }
        return all;
    }

    /**
     * Returns the programs of one customer on top of the usual ones.
     *
     * @param customer the customer's number
     * @param load the load that it adds
     * @param fromMs when it begins
     * @param toMs when it ends
     * @return programs in the order of arrival
     */
    public List<ProgramTrace> flood(int customer, double load, double fromMs, double toMs) {
        double ratePerMs = load * deployment.engines() / meanCostMs();
        List<ProgramTrace> all = new ArrayList<>();
        for (double t = fromMs; t < toMs; t += -Math.log(1 - rng.nextDouble()) / ratePerMs) {
            all.add(program(t, customer));
        }
        return all;
    }

    private double meanCostMs() {
        TraceSource sample = new TraceSource(deployment, spec, seed ^ 0x5DEECE66DL);
        return IntStream.range(0, SAMPLE)
                .mapToDouble(i -> sample.program(0, 0).costMs(spec))
                .average()
                .orElseThrow();
    }

    private double gap(double ratePerMs, double nowMs) {
        double factor = nowMs % BURST_PERIOD_MS < BURST_MS ? BURST_RATE : QUIET_RATE;
        return -Math.log(1 - rng.nextDouble()) / (ratePerMs * factor);
    }

    private ProgramTrace program(double arriveMs, int customer) {
        Deployment.ClassMix mix = pick();
        int template = rng.nextInt(deployment.templates());
        int prefixTokens = deployment.templateTokens() + deployment.customerTokens();
        String id = deployment.name() + "-" + seed + "-" + next++;
        long[] prefix = IntStream.range(0, prefixTokens / EngineSpec.BLOCK_TOKENS)
                .mapToLong(b -> sharedHash(template, customer, b))
                .toArray();
        int turns = (int) Math.max(1, Math.min(MAX_TURNS, Math.round(lognormal(mix.turns(), mix.turnsSpread()))));
        List<ProgramTrace.Turn> made = turns(mix, turns, id, customer, prefixTokens, prefix);
        return new ProgramTrace(id, id, customer, mix.rank(), arriveMs, prefixTokens, prefix, made);
    }

    private long sharedHash(int template, int customer, int block) {
        boolean ofTemplate = (block + 1) * EngineSpec.BLOCK_TOKENS <= deployment.templateTokens();
        return Hash.of(ofTemplate ? -1L - template : -1_000L - customer * 10L - template, block);
    }

    private List<ProgramTrace.Turn> turns(
            Deployment.ClassMix mix, int count, String id, int customer, int prefixTokens, long[] prefix) {
        List<ProgramTrace.Turn> made = new ArrayList<>();
        int history = prefixTokens;
        for (int i = 0; i < count && history < MAX_HISTORY_TOKENS; i++) {
            int input = tokens(i == 0 ? mix.firstTokens() : mix.inputTokens(), INPUT_SPREAD);
            int output = tokens(mix.outputTokens(), OUTPUT_SPREAD);
            history += input + output;
            boolean last = i == count - 1;
            double toolMs = last ? 0 : lognormal(mix.toolMs(), TOOL_SPREAD);
            boolean spawns = !last && rng.nextDouble() < mix.subAgentChance();
            ProgramTrace soFar = new ProgramTrace(id, id, customer, mix.rank(), 0, prefixTokens, prefix, made);
            List<ProgramTrace> subs = spawns ? subAgents(mix, soFar, history, i) : List.of();
            made.add(new ProgramTrace.Turn(input, output, toolMs, subs));
        }
        return List.copyOf(made);
    }

    private List<ProgramTrace> subAgents(Deployment.ClassMix mix, ProgramTrace parent, int history, int turn) {
        long[] prefix = parent.hashes(history);
        int count = 2 + rng.nextInt(3);
        List<ProgramTrace> subs = new ArrayList<>();
        for (int s = 0; s < count; s++) {
            String id = parent.id() + "." + turn + "." + s;
            List<ProgramTrace.Turn> turns = IntStream.range(0, 2 + rng.nextInt(2))
                    .mapToObj(i -> new ProgramTrace.Turn(
                            tokens(SUB_AGENT_BRIEF_TOKENS, INPUT_SPREAD),
                            tokens(mix.outputTokens(), OUTPUT_SPREAD),
                            lognormal(mix.toolMs(), TOOL_SPREAD),
                            List.of()))
                    .toList();
            subs.add(new ProgramTrace(id, parent.id(), parent.customer(), mix.rank(), 0, history, prefix, turns));
        }
        return subs;
    }

    private Deployment.ClassMix pick() {
        double at = rng.nextDouble();
        for (Deployment.ClassMix mix : deployment.mix()) {
            at -= mix.part();
            if (at < 0) {
                return mix;
            }
        }
        return deployment.mix().stream()
                .max(Comparator.comparingInt(Deployment.ClassMix::rank))
                .orElseThrow();
    }

    private int tokens(int median, double spread) {
        return (int) Math.max(8, Math.min(MAX_TURN_TOKENS, lognormal(median, spread)));
    }

    private double lognormal(double median, double spread) {
        double radius = Math.sqrt(-2 * Math.log(1 - rng.nextDouble()));
        return median * Math.exp(spread * radius * Math.cos(2 * Math.PI * rng.nextDouble()));
    }
}
