package org.celerygw.core.routing;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.testng.annotations.Test;

/** Drives a dispatcher by random commands beside a simple oracle. */
public class DispatcherFuzzTest {
    private static final int ENGINES = 4;
    private static final int PROGRAMS = 6;
    private static final ModelName MODEL = new ModelName("m");

    /** A dispatcher and what is true of its engines. */
    private static final class World {
        final Dispatcher dispatcher = new Dispatcher(
                DispatcherSettings.DEFAULT, new AvailabilityZone("a"), RandomSource.XO_RO_SHI_RO_128_PP.create(3L));
        final List<EngineInfo> infos = new ArrayList<>();
        final Set<BackendServerId> leaving = new HashSet<>();
        final Map<Long, Release> running = new HashMap<>();
        final Set<Release> held = new HashSet<>();
        final Set<ProgramId> ended = new HashSet<>();
        long nowMs = 1_000;
        long ticket;
        boolean ok = true;

        World() {
            for (int i = 0; i < ENGINES; i++) {
                infos.add(
                        new EngineInfo(new BackendServerId("e" + i), new AvailabilityZone("a"), Set.of(MODEL), false));
            }
            configure();
        }

        void configure() {
            dispatcher.configure(infos, List.of(), List.of());
        }

        void step(int command) {
            nowMs += 37;
            int arg = command / 8;
            switch (command % 8) {
                case 0, 1, 2 -> offer(new ProgramId("p" + arg % PROGRAMS));
                case 3 -> finish(true);
                case 4 -> finish(false);
                case 5 -> leave(new BackendServerId("e" + arg % ENGINES), arg);
                case 6 -> end(new ProgramId("p" + arg % PROGRAMS));
                default -> configureOrConfirm(arg);
            }
            start();
        }

        /** Confirms releases while other calls of the same program may still be running. */
        void configureOrConfirm(int arg) {
            if (arg % 2 == 0) {
                configure();
                return;
            }
            dispatcher.releases(nowMs).forEach(r -> {
                held.remove(r);
                dispatcher.released(r.engine(), r.program());
            });
        }

        void offer(ProgramId program) {
            if (ended.contains(program)) {
                return;
            }
            List<Long> hashes = List.of((long) program.hashCode() * 8, (long) program.hashCode() * 8 + 1);
            dispatcher.offer(
                    new WorkItem(
                            ++ticket,
                            program,
                            new CustomerId("c"),
                            new PriorityClassName("k"),
                            MODEL,
                            nowMs + 10_000,
                            nowMs + 10_000,
                            1,
                            130,
                            10,
                            hashes,
                            true),
                    nowMs);
        }

        void start() {
            for (Decision d : dispatcher.next(nowMs)) {
                if (d instanceof Decision.Start s) {
                    ok &= !leaving.contains(s.engine());
                    Release memory = new Release(s.engine(), programOf(s.line()));
                    running.put(s.ticket(), memory);
                    held.add(memory);
                }
            }
        }

        private static ProgramId programOf(String line) {
            return new ProgramId(line.split(" ")[2]);
        }

        void finish(boolean well) {
            if (running.isEmpty()) {
                return;
            }
            long first = running.keySet().iterator().next();
            held.add(running.remove(first));
            dispatcher.ended(first, well, 5, nowMs);
        }

        void leave(BackendServerId engine, int arg) {
            if (leaving.size() == ENGINES - 1) {
                return;
            }
            leaving.add(engine);
            if (arg % 2 == 0) {
                dispatcher.leaving(engine);
            } else {
                dispatcher.gone(engine);
                infos.removeIf(i -> i.id().equals(engine));
                held.removeIf(r -> r.engine().equals(engine));
            }
        }

        void end(ProgramId program) {
            ended.add(program);
            dispatcher.programEnded(program, nowMs);
        }

        /** Lets all calls end, then carries out releases; every other confirmation is lost once. */
        Set<Release> settle() {
            while (!running.isEmpty() || dispatcher.waitingCalls() > 0) {
                nowMs += 1_000;
                finish(true);
                start();
            }
            Set<BackendServerId> gone = new HashSet<>(leaving);
            infos.forEach(i -> gone.remove(i.id()));
            held.removeIf(r -> gone.contains(r.engine()));
            for (int round = 0; round < 4; round++) {
                nowMs += 2_000;
                boolean confirmed = round % 2 == 1;
                dispatcher.releases(nowMs).stream().filter(r -> confirmed).forEach(r -> {
                    held.remove(r);
                    dispatcher.released(r.engine(), r.program());
                });
            }
            held.removeIf(r -> !ended.contains(r.program()));
            return held;
        }
    }

    private static World run(List<Integer> commands) {
        World world = new World();
        commands.forEach(world::step);
        return world;
    }

    @Test
    public void leavingEngineReceivesNoNewWork() {
        qt().withFixedSeed(11)
                .withExamples(400)
                .forAll(lists().of(integers().between(0, 95)).ofSizeBetween(1, 60))
                .check(commands -> run(commands).ok);
    }

    @Test
    public void noEngineMemoryStaysHeldForProgramsThatAreGone() {
        qt().withFixedSeed(12)
                .withExamples(400)
                .forAll(lists().of(integers().between(0, 95)).ofSizeBetween(1, 60))
                .check(commands -> run(commands).settle().isEmpty());
    }
}
