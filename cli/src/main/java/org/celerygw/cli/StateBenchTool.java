package org.celerygw.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.celerygw.standin.world.StateBench;

/** {@code celerygw experiment state}: what the journal asks of the store, and how long recovery takes. */
final class StateBenchTool {
    private static final int PEAK_CALLS_PER_S = 1_400;
    private static final int LIVE = 5_000;

    private StateBenchTool() {}

    static int run(List<String> args, PrintStream out) {
        out.println("layout,owners,offered_calls_per_s,answers_per_s,writes_per_s,reads_per_s,kb_per_s,p50_ms,p99_ms");
        List.of(1, 4, 16, 64).forEach(owners -> print(out, StateBench.load(true, owners, PEAK_CALLS_PER_S, LIVE)));
        List.of(100, 350, 700).forEach(calls -> print(out, StateBench.load(true, 16, calls, LIVE)));
        print(out, StateBench.load(false, 16, 350, 2_000));
        out.println("live_programs,heap_bytes_per_program,recovery_ms,cpu_ms");
        List.of(1_000, 10_000, 35_000).forEach(live -> print(out, StateBench.recovery(live)));
        return 0;
    }

    private static void print(PrintStream out, StateBench.Load r) {
        out.printf(
                Locale.ROOT,
                "%s,%d,%d,%.0f,%.0f,%.0f,%.0f,%d,%d%n",
                r.layout(),
                r.owners(),
                r.callsPerS(),
                r.answersPerS(),
                r.writesPerS(),
                r.readsPerS(),
                r.kilobytesPerS(),
                r.p50Ms(),
                r.p99Ms());
    }

    private static void print(PrintStream out, StateBench.Recovered r) {
        out.printf("%d,%d,%d,%d%n", r.live(), r.heapBytesPerProgram(), r.recoveryMs(), r.cpuMs());
    }
}
