package org.celerygw.cli.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * What was measured.
 *
 * @param direct the calls sent directly; none unless compared
 * @param gateway the calls sent through the daemon
 * @param elapsedMs the time in which the counted calls ran
 */
public record BenchResult(Latency direct, Latency gateway, long elapsedMs) {
    /**
     * The latencies of one way of sending.
     *
     * @param count the whole answers
     * @param failures the calls without a whole answer, the warm-up's included
     * @param lastFailure what was wrong with the last of them; empty for none
     * @param firstByteMs p50, p95 and p99 of the time to the first byte, in milliseconds
     * @param wholeMs p50, p95 and p99 of the time to the whole answer, in milliseconds
     */
    public record Latency(
            long count, long failures, String lastFailure, List<Double> firstByteMs, List<Double> wholeMs) {}

    /**
     * Returns the whole answers a second through the daemon.
     *
     * @return answers a second
     */
    public double answersPerS() {
        return elapsedMs == 0 ? 0 : gateway.count() * 1000.0 / elapsedMs;
    }

    /**
     * Returns the result as a table.
     *
     * @return one line for each row
     */
    public List<String> lines() {
        Stream<String> table = Stream.of(
                String.format(
                        Locale.ROOT,
                        "%-22s %10s %10s %10s %10s %10s",
                        "milliseconds",
                        "p50",
                        "p95",
                        "p99",
                        "answers",
                        "failures"),
                row("first byte, direct", direct.firstByteMs(), direct),
                row("first byte, daemon", gateway.firstByteMs(), gateway),
                added("first byte, added", direct.firstByteMs(), gateway.firstByteMs()),
                row("whole, direct", direct.wholeMs(), direct),
                row("whole, daemon", gateway.wholeMs(), gateway),
                added("whole, added", direct.wholeMs(), gateway.wholeMs()),
                String.format(Locale.ROOT, "%.0f answers/s through the daemon in %d ms", answersPerS(), elapsedMs));
        Stream<String> failures = Stream.of(direct, gateway)
                .filter(side -> side.failures() > 0)
                .map(side -> "last failure: " + side.lastFailure());
        return Stream.concat(table, failures).toList();
    }

    private static String row(String name, List<Double> ms, Latency side) {
        return cells(name, ms) + String.format(Locale.ROOT, " %10d %10d", side.count(), side.failures());
    }

    private String added(String name, List<Double> directMs, List<Double> gatewayMs) {
        if (direct.count() == 0) {
            return cells(name, List.of());
        }
        return cells(
                name,
                IntStream.range(0, directMs.size())
                        .mapToObj(i -> gatewayMs.get(i) - directMs.get(i))
                        .toList());
    }

    private static String cells(String name, List<Double> ms) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-22s", name));
        ms.forEach(value -> line.append(String.format(Locale.ROOT, " %10.3f", value)));
        return line.toString();
    }
}
