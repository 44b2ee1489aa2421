package org.celerygw.cli.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The rows of an experiment as a printed table and as CSV. */
final class ResultTable {
    private static final List<Column> COLUMNS = List.of(
            new Column("deployment", r -> r.deployment().name()),
            new Column("scenario", r -> r.scenario().name()),
            new Column("policy", PolicyExperiment.Row::policy),
            seconds("p50_s", m -> m.latencyMs(0.5)),
            seconds("p95_s", m -> m.latencyMs(0.95)),
            seconds("p99_s", m -> m.latencyMs(0.99)),
            seconds("rank0_p50_s", m -> m.latencyMs(0, 0.5)),
            seconds("rank0_p95_s", m -> m.latencyMs(0, 0.95)),
            seconds("rank0_p99_s", m -> m.latencyMs(0, 0.99)),
            seconds("rank1_p50_s", m -> m.latencyMs(1, 0.5)),
            seconds("rank1_p95_s", m -> m.latencyMs(1, 0.95)),
            seconds("rank1_p99_s", m -> m.latencyMs(1, 0.99)),
            seconds("rank2_p50_s", m -> m.latencyMs(2, 0.5)),
            seconds("rank2_p95_s", m -> m.latencyMs(2, 0.95)),
            seconds("rank2_p99_s", m -> m.latencyMs(2, 0.99)),
            number("rebuilt_ktok", m -> m.rebuiltTokens() / 1000.0, 0),
            number("prefill_ktok", m -> m.prefillTokens() / 1000.0, 0),
            number("goodput", Measures::goodput, 3),
            number("ended", Measures::endedPrograms, 0),
            number("failed", Measures::failedPrograms, 0),
            number("failed_rank0", m -> m.failed(0), 0),
            number("unfinished", Measures::unfinishedPrograms, 0),
            number("refusals", Measures::refusals, 0),
            number("fairness", Measures::fairness, 3),
            number("others_slowdown_p95", Measures::othersSlowdown, 2),
            number("first_within", Measures::firstWithin, 3),
            number("token_within", Measures::tokensWithin, 3),
            seconds("rank2_longest_first_s", m -> m.longestFirstMs(2)));
    private static final List<String> PRINTED = List.of(
            "deployment",
            "scenario",
            "policy",
            "p50_s",
            "p95_s",
            "p99_s",
            "rank0_p95_s",
            "rank1_p95_s",
            "rank2_p95_s",
            "rebuilt_ktok",
            "goodput",
            "ended",
            "failed",
            "unfinished",
            "refusals",
            "fairness",
            "others_slowdown_p95",
            "first_within",
            "token_within",
            "rank2_longest_first_s");

    private final List<PolicyExperiment.Row> rows;

    ResultTable(List<PolicyExperiment.Row> rows) {
        this.rows = rows;
    }

    private record Column(String name, Function<PolicyExperiment.Row, String> value) {}

    private static Column number(String name, Function<Measures, Number> value, int digits) {
        return new Column(
                name,
                r -> String.format(
                        Locale.ROOT,
                        "%." + digits + "f",
                        value.apply(r.measures()).doubleValue()));
    }

    private static Column seconds(String name, Function<Measures, Double> valueMs) {
        return number(name, m -> valueMs.apply(m) / 1000, 2);
    }

    void print(PrintStream out) {
        List<Column> columns =
                COLUMNS.stream().filter(c -> PRINTED.contains(c.name())).toList();
        out.println(columns.stream().map(c -> pad(c.name(), c)).collect(Collectors.joining(" ")));
        rows.forEach(r -> out.println(
                columns.stream().map(c -> pad(c.value().apply(r), c)).collect(Collectors.joining(" "))));
    }

    private static String pad(String text, Column column) {
        int width = Math.max(column.name().length(), 7);
        return String.format(
                "%-" + (column.name().equals("policy") || column.name().equals("scenario") ? 15 : width) + "s", text);
    }

    void writeCsv(Path dir) throws IOException {
        Files.createDirectories(dir);
        Stream<String> head = Stream.of(COLUMNS.stream().map(Column::name).collect(Collectors.joining(",")));
        Stream<String> body = rows.stream()
                .map(r -> COLUMNS.stream().map(c -> c.value().apply(r)).collect(Collectors.joining(",")));
        Files.write(dir.resolve("policy.csv"), Stream.concat(head, body).toList());
    }
}
