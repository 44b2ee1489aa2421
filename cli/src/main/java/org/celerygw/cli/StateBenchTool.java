package org.celerygw.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.celerygw.standin.world.StateBench;

/** {@code celerygw experiment state}: measures the load of the journal on the store, and the time of a recovery. */
final class StateBenchTool {
    private static final int PEAK_CALLS_PER_S = 1_400;
    private static final int LIVE_PROGRAMS = 5_000;

    private StateBenchTool() {}

    static int run(List<String> args, PrintStream out) {
        out.println("layout,owners,offered_calls_per_s,answers_per_s,writes_per_s,reads_per_s,kb_per_s,p50_ms,p99_ms");
        List.of(1, 4, 16, 64)
                .forEach(owners -> print(out, StateBench.measureLoad(true, owners, PEAK_CALLS_PER_S, LIVE_PROGRAMS)));
        List.of(100, 350, 700)
                .forEach(callsPerS -> print(out, StateBench.measureLoad(true, 16, callsPerS, LIVE_PROGRAMS)));
        print(out, StateBench.measureLoad(false, 16, 350, 2_000));
        out.println("live_programs,heap_bytes_per_program,recovery_ms,cpu_ms");
        List.of(1_000, 10_000, 35_000).forEach(programs -> print(out, StateBench.measureRecovery(programs)));
        return 0;
    }

    private static void print(PrintStream out, StateBench.LoadResult result) {
        out.printf(
                Locale.ROOT,
                "%s,%d,%d,%.0f,%.0f,%.0f,%.0f,%d,%d%n",
                result.layout(),
                result.owners(),
                result.callsPerS(),
                result.answersPerS(),
                result.writesPerS(),
                result.readsPerS(),
                result.kilobytesPerS(),
                result.p50Ms(),
                result.p99Ms());
    }

    private static void print(PrintStream out, StateBench.RecoveryResult result) {
        out.printf(
                "%d,%d,%d,%d%n", result.programs(), result.heapBytesPerProgram(), result.recoveryMs(), result.cpuMs());
    }
}
