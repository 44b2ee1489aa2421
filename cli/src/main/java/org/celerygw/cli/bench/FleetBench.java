package org.celerygw.cli.bench;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.core.error.ErrorCode;

/**
 * Measures the fleet's control traffic and prints one CSV table.
 *
 * <pre>{@code
 * int code = FleetBench.run(List.of("cost", "--members", "11,50,150,420"), System.out);
 * }</pre>
 */
public final class FleetBench {
    private static final Map<String, Experiment> EXPERIMENTS = Map.of(
            "cost", CostExperiment::run,
            "detect", DetectExperiment::run,
            "spread", SpreadExperiment::run,
            "silent", SilentExperiment::run);

    private FleetBench() {}

    /** One measurement. */
    @FunctionalInterface
    interface Experiment {
        void run(BenchOptions options, PrintStream out);
    }

    /**
     * Runs one experiment, all but {@code silent} in model time.
     *
     * @param args the experiment and its options
     * @param out takes the table, after one comment line with the command
     * @return the exit code
     */
    public static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(args.toArray(new String[0]));
            out.println("# celerygw experiment fleet " + String.join(" ", args));
            EXPERIMENTS.get(parsed.getString("experiment")).run(BenchOptions.of(parsed), out);
            return 0;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw experiment fleet")
                .build()
                .description("Measures membership and configuration of many daemons in model time");
        parser.addArgument("experiment").choices(EXPERIMENTS.keySet().toArray());
        parser.addArgument("--members").setDefault("11,50,150,420").help("fleet sizes, comma-separated");
        parser.addArgument("--loss").setDefault("0").help("shares of datagrams lost, comma-separated");
        parser.addArgument("--seconds").type(Integer.class).setDefault(60).help("model time per measurement");
        parser.addArgument("--events").type(Integer.class).setDefault(10).help("deaths or changes per measurement");
        parser.addArgument("--engines").type(Integer.class).setDefault(0).help("engines whose load is reported");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of all random choices");
        return parser;
    }

    /**
     * The options of an experiment.
     *
     * @param members fleet sizes
     * @param losses shares of datagrams lost
     * @param seconds model time per measurement
     * @param events deaths or changes per measurement
     * @param engines engines whose load is reported
     * @param seed seed of all random choices
     */
    record BenchOptions(List<Integer> members, List<Double> losses, int seconds, int events, int engines, long seed) {
        static BenchOptions of(Namespace parsed) {
            return new BenchOptions(
                    Arrays.stream(parsed.getString("members").split(","))
                            .map(Integer::valueOf)
                            .toList(),
                    Arrays.stream(parsed.getString("loss").split(","))
                            .map(Double::valueOf)
                            .toList(),
                    parsed.getInt("seconds"),
                    parsed.getInt("events"),
                    parsed.getInt("engines"),
                    parsed.getLong("seed"));
        }
    }
}
