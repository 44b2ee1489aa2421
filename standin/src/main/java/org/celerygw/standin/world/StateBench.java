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

/** Measures what owners cost the store, and how long they take to come back, in model time. */
public final class StateBench {
    private static final long WARM_MS = 6_000;
    private static final long MEASURED_MS = 10_000;
    private static final long WORK_MS = 200;
    private static final int ANSWER_BYTES = 400;
    private static final int BODY_BYTES = 1_000;
    private static final OwnerSettings GROUPED = OwnerSettings.DEFAULT;
    private static final OwnerSettings ROW_A_CALL =
            new OwnerSettings(0, 1, 6_000, 1_500, 86_400_000L, 200_000, 65_536, 1_000_000, 10_000);

    private final World world;
    private final List<Long> latenciesMs = new ArrayList<>();
    private final List<ProgramId> programs = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>();
    private long answers;

    private StateBench(OwnerSettings settings, int owners) {
        world = new World(1, settings, Mutation.NONE);
        world.backend().work(WORK_MS, ANSWER_BYTES);
        for (int i = 0; i < owners; i++) {
            world.startHost();
        }
        world.time().run(WARM_MS + 500L * owners);
    }

    /**
     * One measured load.
     *
     * @param layout how calls are recorded
     * @param owners hosts that own slots
     * @param callsPerS calls offered a second over the fleet
     * @param answersPerS calls answered a second
     * @param writesPerS table writes a second
     * @param readsPerS table reads a second
     * @param kilobytesPerS bytes written a second, in 1000 bytes
     * @param p50Ms median time from submission to the answer, the back end included
     * @param p99Ms the 99th percentile of the same
     */
    public record Load(
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
     * Loads a fleet.
     *
     * @param grouped true for group commit, false for a row a record
     * @param owners hosts that own slots
     * @param callsPerS calls a second over the fleet
     * @param live programs that make them
     * @return what it cost
     */
    public static Load load(boolean grouped, int owners, int callsPerS, int live) {
        StateBench bench = new StateBench(grouped ? GROUPED : ROW_A_CALL, owners);
        bench.create(live);
        bench.offer(callsPerS, 2_000);
        long writes = bench.world.store().writes();
        long reads = bench.world.store().reads();
        long bytes = bench.world.store().writtenBytes();
        long before = bench.answers;
        bench.latenciesMs.clear();
        bench.offer(callsPerS, MEASURED_MS);
        double seconds = MEASURED_MS / 1000.0;
        bench.latenciesMs.sort(null);
        return new Load(
                grouped ? "group commit" : "row a record",
                owners,
                callsPerS,
                (bench.answers - before) / seconds,
                (bench.world.store().writes() - writes) / seconds,
                (bench.world.store().reads() - reads) / seconds,
                (bench.world.store().writtenBytes() - bytes) / seconds / 1000,
                bench.percentile(0.5),
                bench.percentile(0.99));
    }

    /**
     * One measured recovery.
     *
     * @param live programs of the host that died
     * @param heapBytesPerProgram heap held for each program, its owner and the fake store together
     * @param recoveryMs model time from the crash until the last program answers again
     * @param cpuMs time that this machine took for it
     */
    public record Recovered(int live, long heapBytesPerProgram, long recoveryMs, long cpuMs) {}

    /**
     * Crashes one of two hosts and waits until every program is served again.
     *
     * @param live programs over both hosts, with two calls each
     * @return how long it took
     */
    public static Recovered recovery(int live) {
        StateBench bench = new StateBench(GROUPED, 2);
        long heapBefore = heapBytes();
        bench.create(live);
        bench.offer(1_000, 2L * live + 1_000);
        bench.world.time().run(8_000);
        long heap = (heapBytes() - heapBefore) / Math.max(1, live);
        long startNs = System.nanoTime();
        bench.world.crash(bench.world.live().get(0));
        long waitedMs = 0;
        WorldHost left = bench.world.live().get(0);
        while (waitedMs < 60_000
                && !bench.programs.stream().allMatch(p -> left.owner().owns(p.slot()))) {
            bench.world.time().run(50);
            waitedMs += 50;
        }
        return new Recovered(live, heap, waitedMs, (System.nanoTime() - startNs) / 1_000_000);
    }

    private static long heapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void create(int live) {
        for (int i = 0; i < live; i++) {
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
            numbers.add(1L);
            world.time().after(i / 10, () -> ask(id, spec));
        }
        world.time().run(live / 10 + 3_000L);
    }

    private void ask(ProgramId id, ProgramSpec spec) {
        world.ask(id, tag -> new Event.CreateRequested(spec, "bench", tag), 2_000, outcome -> {
            if (outcome == null || !outcome.isAnswer()) {
                ask(id, spec);
            }
        });
    }

    private void offer(int callsPerS, long forMs) {
        long calls = callsPerS * forMs / 1000;
        int offset = world.random().nextInt(programs.size());
        for (long i = 0; i < calls; i++) {
            int program = (int) ((offset + i) % programs.size());
            world.time().after(i * 1000 / callsPerS, () -> call(program));
        }
        world.time().run(forMs);
    }

    private void call(int program) {
        CallRequest call = request(programs.get(program), numbers.get(program));
        long startMs = world.time().nowMs();
        Consumer<Outcome> done = outcome -> {
            if (outcome != null && outcome.isAnswer()) {
                answers++;
                numbers.set(program, numbers.get(program) + 1);
                latenciesMs.add(world.time().nowMs() - startMs);
            }
        };
        world.submit(call, done::accept);
    }

    private CallRequest request(ProgramId program, long number) {
        ByteString body = ByteString.copyFromUtf8(program + " " + number + " ".repeat(BODY_BYTES));
        return new CallRequest(
                new CustomerId("c"),
                new CallId(program, number),
                new IdempotencyKey("k" + number),
                CallKind.MODEL,
                "model",
                true,
                world.time().nowMs() + 30_000,
                body.substring(0, 32),
                "",
                body,
                100,
                100,
                List.of());
    }

    private long percentile(double share) {
        return latenciesMs.isEmpty() ? -1 : latenciesMs.get((int) (share * (latenciesMs.size() - 1)));
    }
}
