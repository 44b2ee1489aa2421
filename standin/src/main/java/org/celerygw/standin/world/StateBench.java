package org.celerygw.standin.world;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.OwnerSettings;
import org.celerygw.core.owner.ProgramSpec;

/** Benchmarks the store load caused by owners and the time to recover from a host crash, in simulated time. */
public final class StateBench {
    private static final long WARMUP_MS = 6_000;
    private static final long MEASUREMENT_MS = 10_000;
    private static final long WORK_MS = 200;
    private static final int ANSWER_BYTES = 400;
    private static final int BODY_BYTES = 1_000;
    private static final OwnerSettings GROUP_COMMIT = OwnerSettings.DEFAULT;
    private static final OwnerSettings ROW_PER_RECORD =
            new OwnerSettings(0, 1, 6_000, 1_500, 86_400_000L, 200_000, 65_536, 1_000_000, 10_000);

    private final Simulation simulation;
    private final List<Long> latenciesMs = new ArrayList<>();
    private final List<ProgramId> programs = new ArrayList<>();
    private final List<Long> nextCallNumbers = new ArrayList<>();
    private long answerCount;

    private StateBench(OwnerSettings settings, int owners) {
        simulation = new Simulation(1, settings, Mutation.NONE);
        simulation.backend().setWork(WORK_MS, ANSWER_BYTES);
        for (int i = 0; i < owners; i++) {
            simulation.startHost();
        }
        simulation.clock().advance(WARMUP_MS + 500L * owners);
    }

    /**
     * The result of a load measurement.
     *
     * @param layout the name of the write layout: group commit or one row per record
     * @param owners the number of hosts that own slots
     * @param callsPerS calls offered per second to the fleet
     * @param answersPerS calls answered per second
     * @param writesPerS table writes per second
     * @param readsPerS table reads per second
     * @param kilobytesPerS data written per second, in units of 1000 bytes
     * @param p50Ms median time from submission to answer, including the time at the back end
     * @param p99Ms 99th percentile of the same time
     */
    public record LoadResult(
            String layout,
            int owners,
            int callsPerS,
            double answersPerS,
            double writesPerS,
            double readsPerS,
            double kilobytesPerS,
            long p50Ms,
            long p99Ms) {}

    /**
     * Offers a constant load to a fleet and measures what it costs the store.
     *
     * @param grouped true for group commit, false for one row per record
     * @param owners the number of hosts that own slots
     * @param callsPerS calls offered per second to the fleet
     * @param programCount the number of programs that make the calls
     * @return the measured rates and latencies
     */
    public static LoadResult measureLoad(boolean grouped, int owners, int callsPerS, int programCount) {
        StateBench bench = new StateBench(grouped ? GROUP_COMMIT : ROW_PER_RECORD, owners);
        bench.createPrograms(programCount);
        bench.offerCalls(callsPerS, 2_000);
        long writesBefore = bench.simulation.store().writeCount();
        long readsBefore = bench.simulation.store().readCount();
        long bytesBefore = bench.simulation.store().writtenBytes();
        long answersBefore = bench.answerCount;
        bench.latenciesMs.clear();
        bench.offerCalls(callsPerS, MEASUREMENT_MS);
        double seconds = MEASUREMENT_MS / 1000.0;
        bench.latenciesMs.sort(null);
        return new LoadResult(
                grouped ? "group commit" : "row a record",
                owners,
                callsPerS,
                (bench.answerCount - answersBefore) / seconds,
                (bench.simulation.store().writeCount() - writesBefore) / seconds,
                (bench.simulation.store().readCount() - readsBefore) / seconds,
                (bench.simulation.store().writtenBytes() - bytesBefore) / seconds / 1000,
                bench.percentile(0.5),
                bench.percentile(0.99));
    }

    /**
     * The result of a recovery measurement.
     *
     * @param programs the number of programs on both hosts
     * @param heapBytesPerProgram heap per program, in its owner and the fake store together
     * @param recoveryMs simulated time from the crash until every program has an owner again
     * @param cpuMs real time that the simulated recovery took on this machine
     */
    public record RecoveryResult(int programs, long heapBytesPerProgram, long recoveryMs, long cpuMs) {}

    /**
     * Crashes one of two hosts and waits up to 60 s until the other host owns every program.
     *
     * @param programCount the number of programs on both hosts, with two calls each
     * @return the duration and cost of the recovery
     */
    public static RecoveryResult measureRecovery(int programCount) {
        StateBench bench = new StateBench(GROUP_COMMIT, 2);
        long heapBefore = heapBytes();
        bench.createPrograms(programCount);
        bench.offerCalls(1_000, 2L * programCount + 1_000);
        bench.simulation.clock().advance(8_000);
        long heapBytesPerProgram = (heapBytes() - heapBefore) / Math.max(1, programCount);
        long startNs = System.nanoTime();
        bench.simulation.crash(bench.simulation.liveHosts().get(0));
        long waitedMs = 0;
        SimulatedHost survivor = bench.simulation.liveHosts().get(0);
        while (waitedMs < 60_000
                && !bench.programs.stream().allMatch(p -> survivor.owner().owns(p.slot()))) {
            bench.simulation.clock().advance(50);
            waitedMs += 50;
        }
        return new RecoveryResult(
                programCount, heapBytesPerProgram, waitedMs, (System.nanoTime() - startNs) / 1_000_000);
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void createPrograms(int count) {
        for (int i = 0; i < count; i++) {
            ProgramId id = new ProgramId("p" + i);
            ProgramSpec spec = new ProgramSpec(
                    id,
                    new CustomerId("c"),
                    null,
                    new PriorityClassName("standard"),
                    Long.MAX_VALUE / 2,
                    Long.MAX_VALUE / 2,
                    Long.MAX_VALUE / 2,
                    1_000_000);
            programs.add(id);
            nextCallNumbers.add(1L);
            simulation.clock().schedule(i / 10, () -> createProgram(id, spec));
        }
        simulation.clock().advance(count / 10 + 3_000L);
    }

    private void createProgram(ProgramId id, ProgramSpec spec) {
        simulation.request(id, tag -> new Event.CreateRequested(spec, "bench", tag), 2_000, outcome -> {
            if (outcome == null || !outcome.isAnswer()) {
                createProgram(id, spec);
            }
        });
    }

    private void offerCalls(int callsPerS, long durationMs) {
        long calls = callsPerS * durationMs / 1000;
        int offset = simulation.random().nextInt(programs.size());
        for (long i = 0; i < calls; i++) {
            int index = (int) ((offset + i) % programs.size());
            simulation.clock().schedule(i * 1000 / callsPerS, () -> submitCall(index));
        }
        simulation.clock().advance(durationMs);
    }

    private void submitCall(int index) {
        CallRequest call = newRequest(programs.get(index), nextCallNumbers.get(index));
        long startMs = simulation.clock().nowMs();
        Consumer<Outcome> callback = outcome -> {
            if (outcome != null && outcome.isAnswer()) {
                answerCount++;
                nextCallNumbers.set(index, nextCallNumbers.get(index) + 1);
                latenciesMs.add(simulation.clock().nowMs() - startMs);
            }
        };
        simulation.submit(call, callback::accept);
    }

    private CallRequest newRequest(ProgramId program, long number) {
        ByteString body = ByteString.copyFromUtf8(program + " " + number + " ".repeat(BODY_BYTES));
        return new CallRequest(
                new CustomerId("c"),
                new CallId(program, number),
                new IdempotencyKey("k" + number),
                CallKind.MODEL,
                "model",
                true,
                simulation.clock().nowMs() + 30_000,
                body.substring(0, 32),
                "",
                body,
                100,
                100,
                List.of());
    }

    private long percentile(double fraction) {
        return latenciesMs.isEmpty() ? -1 : latenciesMs.get((int) (fraction * (latenciesMs.size() - 1)));
    }
}
