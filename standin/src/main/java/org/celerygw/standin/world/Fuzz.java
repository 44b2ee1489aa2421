package org.celerygw.standin.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.owner.OwnerSettings;

/**
 * Stateful fuzzer for owners. It performs random calls, crashes, pauses, planned stops, store outages and losses of
 * answers, and an oracle checks the results. Runs with the same seed and steps are identical.
 */
public final class Fuzz {
    private static final int MAX_HOSTS = 4;
    private static final int MAX_CALLERS = 12;
    private static final long BUDGET_TOKENS = 1_500;
    private static final long CEILING_TOKENS = 3_000;
    private static final long WORK_MS = 900;
    private static final int ANSWER_BYTES = 40;
    private static final long MAX_RECOVERY_MS = 90_000;
    static final OwnerSettings SETTINGS = new OwnerSettings(20, 64, 6_000, 1_500, 86_400_000L, 600, 600, 60, 10_000);

    private final Simulation simulation;
    private final UniformRandomProvider random;
    private int stepsRun;

    private Fuzz(long seed, Mutation mutation) {
        simulation = new Simulation(seed, SETTINGS, mutation);
        random = simulation.random();
    }

    /**
     * The result of a run.
     *
     * @param steps the number of steps performed
     * @param answers the number of calls answered
     * @param violations the violated properties with details, in the order of detection
     * @param timeline the log of the run; empty unless it was requested
     */
    public record Report(int steps, int answers, List<String> violations, List<String> timeline) {}

    /**
     * Runs random steps derived from a seed.
     *
     * @param seed the seed of all random choices
     * @param steps the maximum number of steps; a run ends early at the first violation
     * @param timeline whether to log the run
     * @return the result of the run
     */
    public static Report run(long seed, int steps, boolean timeline) {
        return run(seed, steps, timeline, Mutation.NONE);
    }

    static Report run(long seed, int steps, boolean timeline, Mutation mutation) {
        Fuzz fuzz = new Fuzz(seed, mutation);
        fuzz.setUp(timeline);
        List<Integer> actions = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            actions.add(fuzz.random.nextInt(100));
        }
        return fuzz.run(actions);
    }

    /**
     * Runs a fixed list of steps, which a property-based test chooses and shrinks.
     *
     * @param seed the seed of the random choices within the steps
     * @param actions a number from 0 to 99 for each step, which selects its action
     * @return the result of the run
     */
    public static Report run(long seed, List<Integer> actions) {
        Fuzz fuzz = new Fuzz(seed, Mutation.NONE);
        fuzz.setUp(false);
        return fuzz.run(actions);
    }

    private void setUp(boolean timeline) {
        simulation.setLogging(timeline);
        simulation.setCeiling(new CustomerId("capped"), CEILING_TOKENS);
        simulation.backend().setWork(WORK_MS, ANSWER_BYTES);
        simulation.startHost();
        simulation.startHost();
        simulation.clock().advance(3_000);
    }

    private Report run(List<Integer> actions) {
        for (int action : actions) {
            stepsRun++;
            performStep(action);
            simulation.clock().advance(random.nextLong(800));
            if (!simulation.oracle().violations().isEmpty()) {
                return report();
            }
        }
        endFaultsAndVerify();
        return report();
    }

    private void performStep(int action) {
        if (action < 50) {
            performCallerStep(action);
        } else if (action < 71) {
            callFromRandomProgram(true);
        } else if (action < 75) {
            callFromAllPrograms();
        } else {
            injectFault(action);
        }
    }

    private void performCallerStep(int action) {
        if (action < 8) {
            createProgram();
        } else if (action < 30) {
            callFromRandomProgram(false);
        } else if (action < 38) {
            randomCaller().repeatRandomAnswered();
        } else if (action < 42) {
            randomCaller().sendInvalidRequest();
        } else if (action < 47) {
            randomCaller().settleUnknownOutcome();
        } else {
            randomCaller().endProgram(random.nextBoolean());
        }
    }

    private void injectFault(int action) {
        switch (action) {
            case 75 -> crashBeforeAnswersAreDurable();
            case 76, 77 -> crashHost();
            case 78, 79, 80, 81 -> pauseHost();
            case 82, 83 -> drainHost();
            case 84, 85, 86, 87 -> startHost();
            case 88, 89 -> startStoreOutage();
            case 90, 91, 92 -> simulation.store().setFaultProbabilities(0.2, 0.1);
            case 93 -> simulation.store().setMeanDelay(5 + random.nextLong(400));
            case 94, 95 -> simulation.backend().setFaultProbabilities(0.1, 0.2, 0.1);
            default -> {
                simulation.store().setFaultProbabilities(0, 0);
                simulation.store().setMeanDelay(5);
                simulation.backend().setFaultProbabilities(0, 0, 0);
            }
        }
    }

    private Caller randomCaller() {
        if (simulation.callers().isEmpty()) {
            createProgram();
        }
        return simulation.callers().get(random.nextInt(simulation.callers().size()));
    }

    private void createProgram() {
        if (simulation.callers().size() >= MAX_CALLERS) {
            return;
        }
        String customer = random.nextBoolean() ? "capped" : "open";
        boolean child = !simulation.callers().isEmpty() && random.nextInt(3) == 0;
        Caller parent = child ? randomCaller() : null;
        Caller caller = parent == null
                ? simulation.newCaller(customer, null, BUDGET_TOKENS)
                : simulation.newCaller(parent.customer().value(), parent.program(), 0);
        caller.setBodyBytes(random.nextInt(4) == 0 ? 1_000 : 20);
        caller.create();
    }

    private void callFromRandomProgram(boolean repeatable) {
        randomCaller().call(repeatable);
    }

    /** Submits a call from every program at the same instant, so that hosts compete for the customer's ceiling. */
    private void callFromAllPrograms() {
        simulation.callers().forEach(c -> c.call(true));
    }

    private SimulatedHost randomHost() {
        if (simulation.liveHosts().isEmpty()) {
            simulation.startHost();
        }
        return simulation.liveHosts().get(random.nextInt(simulation.liveHosts().size()));
    }

    private void crashHost() {
        if (simulation.liveHosts().size() > 1) {
            simulation.crash(randomHost());
        } else {
            startHost();
        }
    }

    /** Crashes a host at about the time when back ends have answered but a slow store has not made it durable. */
    private void crashBeforeAnswersAreDurable() {
        long delayMs = 20 + random.nextLong(200);
        simulation.store().setMeanDelay(delayMs);
        callFromAllPrograms();
        simulation.clock().advance(2 * delayMs + WORK_MS + random.nextLong(delayMs));
        crashHost();
    }

    private void pauseHost() {
        SimulatedHost host = randomHost();
        if (!host.isPaused()) {
            simulation.log(host.id() + " is paused");
            host.pause();
            simulation.clock().schedule(random.nextLong(15_000), () -> {
                simulation.log(host.id() + " resumes");
                host.resume();
            });
        }
    }

    private void drainHost() {
        SimulatedHost host = randomHost();
        if (simulation.liveHosts().size() > 1 && !host.isDraining()) {
            simulation.drain(host);
        } else {
            startHost();
        }
    }

    private void startHost() {
        if (simulation.liveHosts().size() < MAX_HOSTS) {
            simulation.startHost();
        }
    }

    private void startStoreOutage() {
        simulation.log("store becomes unavailable");
        simulation.store().setDown(true);
        simulation.clock().schedule(random.nextLong(20_000), () -> {
            simulation.log("store is available again");
            simulation.store().setDown(false);
        });
    }

    /** Removes all faults, waits until every call is resolved, and checks the end-of-run properties. */
    private void endFaultsAndVerify() {
        simulation.log("all faults are removed");
        simulation.store().setDown(false);
        simulation.store().setFaultProbabilities(0, 0);
        simulation.store().setMeanDelay(5);
        simulation.backend().setFaultProbabilities(0, 0, 0);
        simulation.liveHosts().forEach(SimulatedHost::resume);
        for (long waitedMs = 0; waitedMs < MAX_RECOVERY_MS && !allCallersIdle(); waitedMs += 500) {
            // A host that finds itself fenced restarts under a new id.
            if (simulation.liveHosts().stream().allMatch(SimulatedHost::isDraining)) {
                simulation.startHost();
            }
            simulation.callers().stream().filter(c -> !c.isIdle()).forEach(this::continueCall);
            simulation.clock().advance(500);
        }
        simulation.callers().stream()
                .filter(c -> !c.isIdle())
                .forEach(c -> simulation.oracle().programUnserved(c.program()));
        simulation.clock().advance(10_000);
        simulation.callers().forEach(Caller::repeatAllAnswered);
        simulation.clock().advance(15_000);
        simulation.oracle().checkCachesReleased();
    }

    private void continueCall(Caller caller) {
        if (!caller.isAwaitingReply()) {
            caller.settleUnknownOutcome();
            caller.call(true);
        }
    }

    private boolean allCallersIdle() {
        return simulation.callers().stream().allMatch(Caller::isIdle);
    }

    private Report report() {
        List<String> violations = simulation.oracle().violations().stream()
                .map(v -> v.property() + ": " + v.detail())
                .toList();
        int answers =
                simulation.callers().stream().mapToInt(Caller::answerCount).sum();
        return new Report(stepsRun, answers, violations, simulation.logLines());
    }
}
