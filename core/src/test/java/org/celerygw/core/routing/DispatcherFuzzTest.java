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

/** Applies random commands to a dispatcher and to a simple model of its engines, and compares the two. */
public class DispatcherFuzzTest {
    private static final int ENGINES = 4;
    private static final int PROGRAMS = 6;
    private static final ModelName MODEL = new ModelName("m");

    /** A dispatcher, and the calls and the memory that its engines hold. */
    private static final class DispatcherModel {
        final Dispatcher dispatcher = new Dispatcher(
                DispatcherSettings.DEFAULT, new AvailabilityZone("a"), RandomSource.XO_RO_SHI_RO_128_PP.create(3L));
        final List<EngineInfo> engineInfos = new ArrayList<>();
        final Set<BackendServerId> leavingOrLostEngines = new HashSet<>();
        final Map<Long, ReleaseRequest> runningCalls = new HashMap<>();
        final Set<ReleaseRequest> heldMemory = new HashSet<>();
        final Set<ProgramId> endedPrograms = new HashSet<>();
        long nowMs = 1_000;
        long lastTicket;
        boolean noCallOnLeavingOrLostEngine = true;

        DispatcherModel() {
            for (int i = 0; i < ENGINES; i++) {
                engineInfos.add(
                        new EngineInfo(new BackendServerId("e" + i), new AvailabilityZone("a"), Set.of(MODEL), false));
            }
            configure();
        }

        void configure() {
            dispatcher.configure(engineInfos, List.of(), List.of());
        }

        void apply(int command) {
            nowMs += 37;
            int argument = command / 8;
            switch (command % 8) {
                case 0, 1, 2 -> offer(new ProgramId("p" + argument % PROGRAMS));
                case 3 -> endRunningCall(true);
                case 4 -> endRunningCall(false);
                case 5 -> markLeavingOrLost(new BackendServerId("e" + argument % ENGINES), argument);
                case 6 -> endProgram(new ProgramId("p" + argument % PROGRAMS));
                default -> configureOrConfirm(argument);
            }
            startCalls();
        }

        /**
         * Applies the configuration again, or confirms releases while calls of the same program may still be running.
         */
        void configureOrConfirm(int argument) {
            if (argument % 2 == 0) {
                configure();
                return;
            }
            dispatcher.dueReleases(nowMs).forEach(r -> {
                heldMemory.remove(r);
                dispatcher.releaseConfirmed(r.engine(), r.program());
            });
        }

        void offer(ProgramId program) {
            if (endedPrograms.contains(program)) {
                return;
            }
            List<Long> hashes = List.of((long) program.hashCode() * 8, (long) program.hashCode() * 8 + 1);
            dispatcher.offer(
                    new WorkItem(
                            ++lastTicket,
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

        void startCalls() {
            for (Decision decision : dispatcher.nextDecisions(nowMs)) {
                if (decision instanceof Decision.Start start) {
                    noCallOnLeavingOrLostEngine &= !leavingOrLostEngines.contains(start.engine());
                    ReleaseRequest held = new ReleaseRequest(start.engine(), programOf(start.logLine()));
                    runningCalls.put(start.ticket(), held);
                    heldMemory.add(held);
                }
            }
        }

        private static ProgramId programOf(String line) {
            return new ProgramId(line.split(" ")[2]);
        }

        void endRunningCall(boolean ok) {
            if (runningCalls.isEmpty()) {
                return;
            }
            long ticket = runningCalls.keySet().iterator().next();
            heldMemory.add(runningCalls.remove(ticket));
            dispatcher.callEnded(ticket, ok, 5, nowMs);
        }

        void markLeavingOrLost(BackendServerId engine, int argument) {
            if (leavingOrLostEngines.size() == ENGINES - 1) {
                return;
            }
            leavingOrLostEngines.add(engine);
            if (argument % 2 == 0) {
                dispatcher.engineLeaving(engine);
            } else {
                dispatcher.engineLost(engine);
                engineInfos.removeIf(i -> i.id().equals(engine));
                heldMemory.removeIf(r -> r.engine().equals(engine));
            }
        }

        void endProgram(ProgramId program) {
            endedPrograms.add(program);
            dispatcher.programEnded(program, nowMs);
        }

        /**
         * Ends all calls, then carries out the release requests in rounds. All requests of every other round are lost
         * and must be repeated. Returns the memory that engines still hold for ended programs.
         */
        Set<ReleaseRequest> drainAndFindLeaks() {
            while (!runningCalls.isEmpty() || dispatcher.waitingCalls() > 0) {
                nowMs += 1_000;
                endRunningCall(true);
                startCalls();
            }
            Set<BackendServerId> lostEngines = new HashSet<>(leavingOrLostEngines);
            engineInfos.forEach(i -> lostEngines.remove(i.id()));
            heldMemory.removeIf(r -> lostEngines.contains(r.engine()));
            for (int round = 0; round < 4; round++) {
                nowMs += 2_000;
                boolean confirmed = round % 2 == 1;
                dispatcher.dueReleases(nowMs).stream().filter(r -> confirmed).forEach(r -> {
                    heldMemory.remove(r);
                    dispatcher.releaseConfirmed(r.engine(), r.program());
                });
            }
            heldMemory.removeIf(r -> !endedPrograms.contains(r.program()));
            return heldMemory;
        }
    }

    private static DispatcherModel runCommands(List<Integer> commands) {
        DispatcherModel model = new DispatcherModel();
        commands.forEach(model::apply);
        return model;
    }

    @Test
    public void leavingOrLostEngineReceivesNoNewCalls() {
        qt().withFixedSeed(11)
                .withExamples(400)
                .forAll(lists().of(integers().between(0, 95)).ofSizeBetween(1, 60))
                .check(commands -> runCommands(commands).noCallOnLeavingOrLostEngine);
    }

    @Test
    public void endedProgramsLeaveNoEngineMemoryHeld() {
        qt().withFixedSeed(12)
                .withExamples(400)
                .forAll(lists().of(integers().between(0, 95)).ofSizeBetween(1, 60))
                .check(commands -> runCommands(commands).drainAndFindLeaks().isEmpty());
    }
}
