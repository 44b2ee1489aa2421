package org.celerygw.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates random program traces for a deployment; the same seed yields the same traces. */
public final class TraceGenerator {
    private static final int MAX_TURNS = 75;
    private static final int MAX_HISTORY_TOKENS = 180_000;
    private static final double INPUT_SIGMA = 0.8;
    private static final double OUTPUT_SIGMA = 0.7;
    private static final double TOOL_TIME_SIGMA = 1.0;
    private static final int MAX_TURN_TOKENS = 16_000;
    private static final int SUB_AGENT_INPUT_TOKENS = 300;
    private static final int COST_SAMPLE_PROGRAMS = 4_000;
    private static final double BURST_PERIOD_MS = 100_000;
    private static final double BURST_MS = 20_000;
    private static final double BURST_RATE_FACTOR = 1.6;
    private static final double QUIET_RATE_FACTOR = 0.85;

    private final Deployment deployment;
    private final EngineSpec spec;
    private final UniformRandomProvider rng;
    private final long seed;
    private long nextProgramNumber;

    /**
     * Creates a generator.
     *
     * @param deployment the sizes and the mix of program classes
     * @param spec the engine whose capacity defines a load of 1.0
     * @param seed the seed of the random numbers, also part of the program IDs
     */
    public TraceGenerator(Deployment deployment, EngineSpec spec, long seed) {
        this.deployment = deployment;
        this.spec = spec;
        this.seed = seed;
        this.rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /**
     * Returns programs whose arrivals offer the given load. Arrivals are bursty.
     *
     * @param load the offered load; 1.0 is what all engines together serve when batches are full and each token of a
     *     program is computed once
     * @param spanMs the time span in which programs arrive
     * @return programs in the order of arrival
     */
    public List<ProgramTrace> generatePrograms(double load, double spanMs) {
        double ratePerMs = load * deployment.engines() / meanCostMs();
        List<ProgramTrace> programs = new ArrayList<>();
        for (double arriveMs = sampleGapMs(ratePerMs, 0);
                arriveMs < spanMs;
                arriveMs += sampleGapMs(ratePerMs, arriveMs)) {
            programs.add(generateProgram(arriveMs, rng.nextInt(deployment.customers())));
        }
        return programs;
    }

    /**
     * Returns additional programs of one customer that overloads the deployment.
     *
     * @param customer the customer's number
     * @param load the additional load, in the unit of {@link #generatePrograms}
     * @param fromMs start of the time span in which they arrive
     * @param toMs end of the time span in which they arrive
     * @return programs in the order of arrival
     */
    public List<ProgramTrace> generateFlood(int customer, double load, double fromMs, double toMs) {
        double ratePerMs = load * deployment.engines() / meanCostMs();
        List<ProgramTrace> programs = new ArrayList<>();
        for (double arriveMs = fromMs; arriveMs < toMs; arriveMs += -Math.log(1 - rng.nextDouble()) / ratePerMs) {
            programs.add(generateProgram(arriveMs, customer));
        }
        return programs;
    }

    private double meanCostMs() {
        TraceGenerator sample = new TraceGenerator(deployment, spec, seed ^ 0x5DEECE66DL);
        return IntStream.range(0, COST_SAMPLE_PROGRAMS)
                .mapToDouble(i -> sample.generateProgram(0, 0).costMs(spec))
                .average()
                .orElseThrow();
    }

    private double sampleGapMs(double ratePerMs, double nowMs) {
        double rateFactor = nowMs % BURST_PERIOD_MS < BURST_MS ? BURST_RATE_FACTOR : QUIET_RATE_FACTOR;
        return -Math.log(1 - rng.nextDouble()) / (ratePerMs * rateFactor);
    }

    private ProgramTrace generateProgram(double arriveMs, int customer) {
        Deployment.ProgramClass programClass = sampleClass();
        int template = rng.nextInt(deployment.templates());
        int prefixTokens = deployment.templateTokens() + deployment.customerTokens();
        String id = deployment.name() + "-" + seed + "-" + nextProgramNumber++;
        long[] prefix = IntStream.range(0, prefixTokens / EngineSpec.BLOCK_TOKENS)
                .mapToLong(b -> sharedHash(template, customer, b))
                .toArray();
        int turns = (int) Math.max(
                1, Math.min(MAX_TURNS, Math.round(sampleLognormal(programClass.turns(), programClass.turnsSigma()))));
        List<ProgramTrace.Turn> generatedTurns = generateTurns(programClass, turns, id, customer, prefixTokens, prefix);
        return new ProgramTrace(id, id, customer, programClass.rank(), arriveMs, prefixTokens, prefix, generatedTurns);
    }

    private long sharedHash(int template, int customer, int block) {
        boolean inTemplate = (block + 1) * EngineSpec.BLOCK_TOKENS <= deployment.templateTokens();
        return Hash.mix(inTemplate ? -1L - template : -1_000L - customer * 10L - template, block);
    }

    private List<ProgramTrace.Turn> generateTurns(
            Deployment.ProgramClass programClass, int count, String id, int customer, int prefixTokens, long[] prefix) {
        List<ProgramTrace.Turn> generatedTurns = new ArrayList<>();
        int historyTokens = prefixTokens;
        for (int i = 0; i < count && historyTokens < MAX_HISTORY_TOKENS; i++) {
            int inputTokens =
                    sampleTokens(i == 0 ? programClass.firstTokens() : programClass.inputTokens(), INPUT_SIGMA);
            int outputTokens = sampleTokens(programClass.outputTokens(), OUTPUT_SIGMA);
            historyTokens += inputTokens + outputTokens;
            boolean last = i == count - 1;
            double toolMs = last ? 0 : sampleLognormal(programClass.toolMs(), TOOL_TIME_SIGMA);
            boolean spawns = !last && rng.nextDouble() < programClass.subAgentChance();
            ProgramTrace soFar =
                    new ProgramTrace(id, id, customer, programClass.rank(), 0, prefixTokens, prefix, generatedTurns);
            List<ProgramTrace> subAgents =
                    spawns ? generateSubAgents(programClass, soFar, historyTokens, i) : List.of();
            generatedTurns.add(new ProgramTrace.Turn(inputTokens, outputTokens, toolMs, subAgents));
        }
        return List.copyOf(generatedTurns);
    }

    private List<ProgramTrace> generateSubAgents(
            Deployment.ProgramClass programClass, ProgramTrace parent, int historyTokens, int turn) {
        long[] prefix = parent.blockHashes(historyTokens);
        int count = 2 + rng.nextInt(3);
        List<ProgramTrace> subAgents = new ArrayList<>();
        for (int s = 0; s < count; s++) {
            String id = parent.id() + "." + turn + "." + s;
            List<ProgramTrace.Turn> turns = IntStream.range(0, 2 + rng.nextInt(2))
                    .mapToObj(i -> new ProgramTrace.Turn(
                            sampleTokens(SUB_AGENT_INPUT_TOKENS, INPUT_SIGMA),
                            sampleTokens(programClass.outputTokens(), OUTPUT_SIGMA),
                            sampleLognormal(programClass.toolMs(), TOOL_TIME_SIGMA),
                            List.of()))
                    .toList();
            subAgents.add(new ProgramTrace(
                    id, parent.id(), parent.customer(), programClass.rank(), 0, historyTokens, prefix, turns));
        }
        return subAgents;
    }

    private Deployment.ProgramClass sampleClass() {
        double draw = rng.nextDouble();
        for (Deployment.ProgramClass programClass : deployment.programClasses()) {
            draw -= programClass.fraction();
            if (draw < 0) {
                return programClass;
            }
        }
        return deployment.programClasses().stream()
                .max(Comparator.comparingInt(Deployment.ProgramClass::rank))
                .orElseThrow();
    }

    private int sampleTokens(int median, double sigma) {
        return (int) Math.max(8, Math.min(MAX_TURN_TOKENS, sampleLognormal(median, sigma)));
    }

    private double sampleLognormal(double median, double sigma) {
        double radius = Math.sqrt(-2 * Math.log(1 - rng.nextDouble()));
        return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * rng.nextDouble()));
    }
}
