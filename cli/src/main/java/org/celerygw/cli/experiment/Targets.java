package org.celerygw.cli.experiment;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.celerygw.standin.model.Deployment;

/** The ratios that the policy is held to, printed with their bounds. */
final class Targets {
    private static final String OWN = "celerygw";
    private static final String LEAST = "least-requests";
    private static final String HASH = "hash-affinity";

    private final List<PolicyExperiment.Row> rows;
    private final PrintStream out;

    private Targets(List<PolicyExperiment.Row> rows, PrintStream out) {
        this.rows = rows;
        this.out = out;
    }

    static void print(List<PolicyExperiment.Row> rows, PrintStream out) {
        rows.stream().map(PolicyExperiment.Row::deployment).distinct().forEach(d -> new Targets(
                        rows.stream().filter(r -> r.deployment().equals(d)).toList(), out)
                .print(d));
    }

    private void print(Deployment d) {
        String mid = "load-0.85";
        double own95 = value(mid, OWN, m -> m.latencyMs(0.95));
        double best95 = rows.stream()
                .filter(r -> r.scenario().name().equals(mid) && !r.policy().equals(OWN))
                .map(r -> r.measures().latencyMs(0.95))
                .min(Comparator.naturalOrder())
                .orElse(Double.NaN);
        double ownRebuilt = value(mid, OWN, Measures::rebuiltTokens);
        line(d, "p95 to least-requests at 0.85", own95 / value(mid, LEAST, m -> m.latencyMs(0.95)), 0.6, true);
        line(d, "p95 to best baseline at 0.85", own95 / best95, 0.8, true);
        line(
                d,
                "rebuilt to least-requests at 0.85",
                ownRebuilt / value(mid, LEAST, Measures::rebuiltTokens),
                0.25,
                true);
        line(d, "rebuilt to hash-affinity at 0.85", ownRebuilt / value(mid, HASH, Measures::rebuiltTokens), 1.1, true);
        double high = value("load-1.2", OWN, m -> m.latencyMs(0, 0.95));
        line(d, "rank 0 p95 at 1.2 to 0.7", high / value("load-0.7", OWN, m -> m.latencyMs(0, 0.95)), 1.3, true);
        double peak = rows.stream()
                .filter(r -> r.policy().equals(OWN) && r.scenario().name().startsWith("load-"))
                .mapToDouble(r -> r.measures().goodput())
                .max()
                .orElse(Double.NaN);
        line(d, "goodput at 1.2 to peak", value("load-1.2", OWN, Measures::goodput) / peak, 0.95, false);
        line(d, "first token within 0.88 s at 0.85", value(mid, OWN, Measures::firstWithin), 0.95, false);
        line(d, "tokens within 34 ms at 0.85", value(mid, OWN, Measures::tokensWithin), 0.95, false);
    }

    private double value(String scenario, String policy, ToDoubleFunction<Measures> of) {
        Optional<PolicyExperiment.Row> row = rows.stream()
                .filter(r -> r.scenario().name().equals(scenario) && r.policy().equals(policy))
                .findFirst();
        return row.map(r -> of.applyAsDouble(r.measures())).orElse(Double.NaN);
    }

    private void line(Deployment d, String name, double value, double bound, boolean atMost) {
        if (Double.isNaN(value)) {
            return;
        }
        boolean met = atMost ? value <= bound : value >= bound;
        out.printf(
                Locale.ROOT,
                "target: %-10s %-36s %7.3f %s %.2f %s%n",
                d.name(),
                name,
                value,
                atMost ? "<=" : ">=",
                bound,
                met ? "met" : "MISSED");
    }
}
