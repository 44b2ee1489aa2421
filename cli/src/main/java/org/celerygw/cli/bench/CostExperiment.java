package org.celerygw.cli.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.cli.bench.FleetBench.BenchOptions;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.membership.LoadSummary;
import org.celerygw.standin.fleet.SimulatedFleet;
import org.celerygw.standin.fleet.SimulatedNode;

/**
 * What control costs one daemon. Processor time includes the model network's own, and so is an upper bound of the
 * logic's; sockets are not in it.
 */
final class CostExperiment {
    private static final int UDP_IP_HEADER_BYTES = 28;
    private static final long REPORT_INTERVAL_MS = 5000;

    private CostExperiment() {}

    static void run(BenchOptions options, PrintStream out) {
        out.println("members,loss,engines,seconds,bytes_per_s,bytes_per_s_max,wire_bytes_per_s,datagrams_per_s,"
                + "cpu_percent,heap_bytes,load_age_ms");
        for (int members : options.members()) {
            for (double loss : options.losses()) {
                out.println(measure(members, loss, options));
            }
        }
    }

    private static String measure(int members, double loss, BenchOptions options) {
        long heapBefore = usedHeap();
        SimulatedFleet fleet = Fleets.settled(options.seed(), members).setLossRate(loss);
        long heap = (usedHeap() - heapBefore) / members;
        List<Long> bytesBefore =
                fleet.runningNodes().map(SimulatedNode::totalBytes).toList();
        long datagramsBefore =
                fleet.runningNodes().mapToLong(SimulatedNode::totalDatagrams).sum();
        long cpuBefore = cpuNs();
        long loadAgeMs = run(fleet, options);
        double cpuNs = cpuNs() - cpuBefore;
        double seconds = options.seconds();
        List<SimulatedNode> nodes = fleet.runningNodes().toList();
        double[] rates = IntStream.range(0, members)
                .mapToDouble(i -> (nodes.get(i).totalBytes() - bytesBefore.get(i)) / seconds)
                .toArray();
        double datagrams =
                (nodes.stream().mapToLong(SimulatedNode::totalDatagrams).sum() - datagramsBefore) / seconds / members;
        double mean =
                IntStream.range(0, members).mapToDouble(i -> rates[i]).average().orElse(0);
        double max =
                IntStream.range(0, members).mapToDouble(i -> rates[i]).max().orElse(0);
        return String.format(
                Locale.ROOT,
                "%d,%.2f,%d,%d,%.0f,%.0f,%.0f,%.2f,%.4f,%d,%d",
                members,
                loss,
                options.engines(),
                options.seconds(),
                mean,
                max,
                mean + datagrams * UDP_IP_HEADER_BYTES,
                datagrams,
                cpuNs / 1e9 / seconds / members * 100,
                heap,
                loadAgeMs);
    }

    /** Runs the fleet, with reports of load, and returns the mean age of what members know of it at the end. */
    private static long run(SimulatedFleet fleet, BenchOptions options) {
        if (options.engines() == 0) {
            fleet.runForMs(options.seconds() * 1000L);
            return 0;
        }
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed());
        long endMs = fleet.nowMs() + options.seconds() * 1000L;
        while (fleet.nowMs() < endMs) {
            report(fleet, options.engines(), random);
            fleet.runForMs(REPORT_INTERVAL_MS);
        }
        return age(fleet, options.engines());
    }

    private static void report(SimulatedFleet fleet, int engines, UniformRandomProvider random) {
        List<SimulatedNode> nodes = fleet.runningNodes().toList();
        for (int e = 0; e < engines; e++) {
            LoadSummary load =
                    new LoadSummary(fleet.nowMs(), random.nextInt(20), random.nextInt(64), random.nextInt(1000));
            // The same daemon reports the same engine, as its steward does.
            nodes.get(e % nodes.size()).membership().reportLoad(engine(e), load);
        }
    }

    private static long age(SimulatedFleet fleet, int engines) {
        return (long) fleet.runningNodes()
                .flatMapToLong(n -> IntStream.range(0, engines)
                        .mapToObj(e -> n.membership().load(engine(e)))
                        .flatMap(Optional::stream)
                        .mapToLong(l -> fleet.nowMs() - l.observedAtMs()))
                .average()
                .orElse(-1);
    }

    private static BackendServerId engine(int number) {
        return new BackendServerId("engine-" + number);
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
