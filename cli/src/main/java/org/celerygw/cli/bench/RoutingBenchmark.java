package org.celerygw.cli.bench;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.routing.Decision;
import org.celerygw.core.routing.Dispatcher;
import org.celerygw.core.routing.DispatcherSettings;
import org.celerygw.core.routing.EngineInfo;
import org.celerygw.core.routing.LoadReport;
import org.celerygw.core.routing.PriorityClassInfo;
import org.celerygw.core.routing.WorkItem;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The cost of one decision: a call is offered, routed, started and ended, with its decision line. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 2)
@Fork(value = 1, jvmArgs = "-Xmx3g")
public class RoutingBenchmark {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final ModelName MODEL = new ModelName("m");
    private static final PriorityClassName CLASS = new PriorityClassName("c");
    private static final int SHARED_BLOCKS = 40;
    private static final int OWN_BLOCKS = 80;
    private static final int CUSTOMERS = 1_800;
    private static final long START_MS = 1_798_761_600_000L;

    /** The engines. */
    @Param({"13", "150", "600"})
    public int engines;

    /** The programs under way. */
    @Param({"35000"})
    public int programs;

    private Dispatcher dispatcher;
    private WorkItem[] items;
    private UniformRandomProvider rng;
    private long nowMs = START_MS;

    /** Makes the engines and lets each program run one call. */
    @Setup
    public void setUp() {
        rng = RandomSource.XO_RO_SHI_RO_128_PP.create(5L);
        dispatcher = new Dispatcher(DispatcherSettings.DEFAULT, ZONE, RandomSource.XO_RO_SHI_RO_128_PP.create(6L));
        List<EngineInfo> infos = IntStream.range(0, engines)
                .mapToObj(i -> new EngineInfo(new BackendServerId("e" + i), ZONE, Set.of(MODEL), false))
                .toList();
        dispatcher.configure(infos, List.of(new PriorityClassInfo(CLASS, 0, 10_000)), List.of());
        items = IntStream.range(0, programs).mapToObj(this::item).toArray(WorkItem[]::new);
        for (int i = 0; i < programs; i++) {
            decide(items[i]);
        }
        nowMs += 250;
        infos.forEach(e -> dispatcher.loadReported(e.id(), new LoadReport(nowMs, rng.nextInt(40), 0, 500, 0)));
    }

    private WorkItem item(int program) {
        List<Long> hashes = LongStream.range(0, SHARED_BLOCKS + OWN_BLOCKS)
                .map(b -> b < SHARED_BLOCKS ? hash(program % 100, b) : hash(1_000_000L + program, b))
                .boxed()
                .toList();
        return new WorkItem(
                program,
                new ProgramId("program-" + program),
                new CustomerId("customer-" + program % CUSTOMERS),
                CLASS,
                MODEL,
                Long.MAX_VALUE / 2,
                Long.MAX_VALUE / 2,
                1_000,
                hashes.size() * WorkItem.BLOCK_TOKENS,
                500,
                hashes,
                true);
    }

    private static long hash(long a, long b) {
        long h = a * 0x9E3779B97F4A7C15L + b;
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        return h ^ (h >>> 31);
    }

    private List<Decision> decide(WorkItem item) {
        dispatcher.offer(item, nowMs);
        List<Decision> out = dispatcher.nextDecisions(nowMs);
        dispatcher.callEnded(item.ticket(), true, 200, nowMs);
        return out;
    }

    /**
     * Decides one call of a program that has run before.
     *
     * @return the decision
     */
    @Benchmark
    public List<Decision> decision() {
        nowMs++;
        return decide(items[rng.nextInt(programs)]);
    }
}
