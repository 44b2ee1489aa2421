package org.celerygw.standin.world;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.owner.OwnerSettings;

/**
 * Stateful fuzzing of owners: random calls, crashes, pauses, planned stops, outages and lost answers, checked by an
 * oracle. The same seed and steps give the same run.
 */
public final class Fuzz {
    private static final int MOST_HOSTS = 4;
    private static final int MOST_CALLERS = 12;
    private static final long BUDGET_TOKENS = 1_500;
    private static final long CEILING_TOKENS = 3_000;
    private static final long WORK_MS = 900;
    private static final int ANSWER_BYTES = 40;
    private static final long HEAL_MS = 90_000;
    static final OwnerSettings SETTINGS = new OwnerSettings(20, 64, 6_000, 1_500, 86_400_000L, 600, 600, 60, 10_000);

    private final World world;
    private final UniformRandomProvider random;
    private int step;

    private Fuzz(long seed, Mutation mutation) {
        world = new World(seed, SETTINGS, mutation);
        random = world.random();
    }

    /**
     * How a run ended.
     *
     * @param steps the steps done
     * @param answers the calls answered
     * @param violations what did not hold, in the order seen
     * @param timeline what happened; empty unless asked for
     */
    public record Report(int steps, int answers, List<String> violations, List<String> timeline) {}

    /**
     * Runs random steps from a seed.
     *
     * @param seed the seed
     * @param steps how many steps; a run ends early at the first violation
     * @param timeline whether to keep a timeline
     * @return the report
     */
    public static Report run(long seed, int steps, boolean timeline) {
        return run(seed, steps, timeline, Mutation.NONE);
    }

    static Report run(long seed, int steps, boolean timeline, Mutation mutation) {
        Fuzz fuzz = new Fuzz(seed, mutation);
        fuzz.begin(timeline);
        List<Integer> actions = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            actions.add(fuzz.random.nextInt(100));
        }
        return fuzz.run(actions);
    }

    /**
     * Runs given steps; a property-based test chooses and shrinks them.
     *
     * @param seed the seed of all that the steps leave open
     * @param actions one number from 0 to 99 a step
     * @return the report
     */
    public static Report run(long seed, List<Integer> actions) {
        Fuzz fuzz = new Fuzz(seed, Mutation.NONE);
        fuzz.begin(false);
        return fuzz.run(actions);
    }

    private void begin(boolean timeline) {
        world.logging(timeline);
        world.ceiling(new CustomerId("capped"), CEILING_TOKENS);
        world.backend().work(WORK_MS, ANSWER_BYTES);
        world.startHost();
        world.startHost();
        world.time().run(3_000);
    }

    private Report run(List<Integer> actions) {
        for (int action : actions) {
            step++;
            act(action);
            world.time().run(random.nextLong(800));
            if (!world.oracle().violations().isEmpty()) {
                return report();
            }
        }
        heal();
        return report();
    }

    private void act(int action) {
        if (action < 50) {
            use(action);
        } else if (action < 71) {
            call(true);
        } else if (action < 75) {
            callAll();
        } else {
            disturb(action);
        }
    }

    private void use(int action) {
        if (action < 8) {
            create();
        } else if (action < 30) {
            call(false);
        } else if (action < 38) {
            anyCaller().repeatAnswered();
        } else if (action < 42) {
            anyCaller().misuse();
        } else if (action < 47) {
            anyCaller().settle();
        } else {
            anyCaller().end(random.nextBoolean());
        }
    }

    private void disturb(int action) {
        switch (action) {
            case 75 -> crashAmidAnswers();
            case 76, 77 -> crash();
            case 78, 79, 80, 81 -> pause();
            case 82, 83 -> drain();
            case 84, 85, 86, 87 -> start();
            case 88, 89 -> outage();
            case 90, 91, 92 -> world.store().faults(0.2, 0.1);
            case 93 -> world.store().delay(5 + random.nextLong(400));
            case 94, 95 -> world.backend().faults(0.1, 0.2, 0.1);
            default -> {
                world.store().faults(0, 0);
                world.store().delay(5);
                world.backend().faults(0, 0, 0);
            }
        }
    }

    private Caller anyCaller() {
        if (world.callers().isEmpty()) {
            create();
        }
        return world.callers().get(random.nextInt(world.callers().size()));
    }

    private void create() {
        if (world.callers().size() >= MOST_CALLERS) {
            return;
        }
        String customer = random.nextBoolean() ? "capped" : "open";
        boolean child = !world.callers().isEmpty() && random.nextInt(3) == 0;
        Caller parent = child ? anyCaller() : null;
        Caller caller = parent == null
                ? world.newCaller(customer, null, BUDGET_TOKENS)
                : world.newCaller(parent.customer().value(), parent.program(), 0);
        caller.bodies(random.nextInt(4) == 0 ? 1_000 : 20);
        caller.create();
    }

    private void call(boolean repeatable) {
        anyCaller().call(repeatable);
    }

    /** Lets every program call at the same instant, so that hosts race for the customer's ceiling. */
    private void callAll() {
        world.callers().forEach(c -> c.call(true));
    }

    private WorldHost anyHost() {
        if (world.live().isEmpty()) {
            world.startHost();
        }
        return world.live().get(random.nextInt(world.live().size()));
    }

    private void crash() {
        if (world.live().size() > 1) {
            world.crash(anyHost());
        } else {
            start();
        }
    }

    /** Crashes a host about when back ends have answered and a slow store has not made the answers durable. */
    private void crashAmidAnswers() {
        long delayMs = 20 + random.nextLong(200);
        world.store().delay(delayMs);
        callAll();
        world.time().run(2 * delayMs + WORK_MS + random.nextLong(delayMs));
        crash();
    }

    private void pause() {
        WorldHost host = anyHost();
        if (!host.isPaused()) {
            world.log(host.id() + " pauses");
            host.pause();
            world.time().after(random.nextLong(15_000), () -> {
                world.log(host.id() + " wakes up");
                host.resume();
            });
        }
    }

    private void drain() {
        WorldHost host = anyHost();
        if (world.live().size() > 1 && !host.isDraining()) {
            world.drain(host);
        } else {
            start();
        }
    }

    private void start() {
        if (world.live().size() < MOST_HOSTS) {
            world.startHost();
        }
    }

    private void outage() {
        world.log("store goes down");
        world.store().down(true);
        world.time().after(random.nextLong(20_000), () -> {
            world.log("store is back");
            world.store().down(false);
        });
    }

    /** Ends all faults and then checks what must have survived them. */
    private void heal() {
        world.log("all faults end");
        world.store().down(false);
        world.store().faults(0, 0);
        world.store().delay(5);
        world.backend().faults(0, 0, 0);
        world.live().forEach(WorldHost::resume);
        for (long waited = 0; waited < HEAL_MS && !isSettled(); waited += 500) {
            // A host that finds itself deposed restarts under a new id.
            if (world.live().stream().allMatch(WorldHost::isDraining)) {
                world.startHost();
            }
            world.callers().stream().filter(c -> !c.isSettled()).forEach(this::goOn);
            world.time().run(500);
        }
        world.callers().stream().filter(c -> !c.isSettled()).forEach(c -> world.oracle()
                .unserved(c.program()));
        world.time().run(10_000);
        world.callers().forEach(Caller::repeatAll);
        world.time().run(15_000);
        world.oracle().cacheIsReleased();
    }

    private void goOn(Caller caller) {
        if (!caller.isWaiting()) {
            caller.settle();
            caller.call(true);
        }
    }

    private boolean isSettled() {
        return world.callers().stream().allMatch(Caller::isSettled);
    }

    private Report report() {
        List<String> violations = world.oracle().violations().stream()
                .map(v -> v.property() + ": " + v.detail())
                .toList();
        int answers = world.callers().stream().mapToInt(Caller::answers).sum();
        return new Report(step, answers, violations, world.logged());
    }
}
