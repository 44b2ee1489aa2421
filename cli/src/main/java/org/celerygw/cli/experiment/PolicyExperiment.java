package org.celerygw.cli.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.routing.DispatcherSettings;
import org.celerygw.standin.model.Deployment;
import org.celerygw.standin.model.EngineSpec;

/** Compares the product's policy with simple ones on modelled engines, in virtual time. */
public final class PolicyExperiment {
    private PolicyExperiment() {}

    /**
     * Runs the experiment alone, without the operators' command line.
     *
     * @param args as for {@link #run(List, PrintStream)}
     */
    public static void main(String[] args) {
        System.exit(run(List.of(args), System.out));
    }

    /** One run's place in the table and what it measured. */
    record Row(Deployment deployment, Scenario scenario, String policy, Measures measures) {}

    /**
     * Runs the experiment from command line arguments.
     *
     * @param args {@code --deployment NAME}, {@code --load L}, {@code --no-faults}, {@code --seed N},
     *     {@code --policy NAME}, {@code --threads N}, {@code --out DIR}; each may be left out
     * @param out where the table goes
     * @return the exit code: 0 when all was run
     * @throws GatewayException with code INVALID_ARGUMENT when an argument is not understood
     */
    public static int run(List<String> args, PrintStream out) {
        run(parse(args), out);
        return 0;
    }

    /**
     * Runs the experiment, prints its table and writes CSV and charts.
     *
     * @param options what to run
     * @param out where the table goes
     */
    public static void run(PolicyOptions options, PrintStream out) {
        List<Row> rows = runAll(options);
        ResultTable table = new ResultTable(rows);
        table.print(out);
        Targets.print(rows, out);
        try {
            table.writeCsv(options.out());
            Charts.write(rows, options.out());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        out.println("experiment: wrote " + options.out().resolve("policy.csv"));
    }

    private static PolicyOptions parse(List<String> args) {
        PolicyOptions options = PolicyOptions.DEFAULT;
        Iterator<String> at = args.iterator();
        while (at.hasNext()) {
            String name = at.next();
            if (name.equals("--no-faults")) {
                options = options.withoutFaults();
                continue;
            }
            if (!at.hasNext()) {
                throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "no value for " + name);
            }
            options = with(options, name, at.next());
        }
        return options;
    }

    private static PolicyOptions with(PolicyOptions options, String name, String value) {
        return switch (name) {
            case "--deployment" -> options.withDeployment(value);
            case "--load" -> options.withLoad(Double.parseDouble(value));
            case "--policy" -> options.withPolicy(value);
            case "--seed" -> options.withSeed(Long.parseLong(value));
            case "--threads" -> options.withThreads(Integer.parseInt(value));
            case "--out" -> options.withOut(Path.of(value));
            default -> throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "unknown argument " + name);
        };
    }

    private static List<Row> runAll(PolicyOptions options) {
        ExecutorService pool = Executors.newFixedThreadPool(options.threads());
        try {
            List<Future<Row>> started = new ArrayList<>();
            for (Deployment d : options.deployments()) {
                for (Scenario s : scenarios(options, d)) {
                    for (Policies.Policy p : policies(options, d)) {
                        started.add(pool.submit(() ->
                                new Row(d, s, p.name(), Simulation.run(s, d, EngineSpec.DEFAULT, p, options.seed()))));
                    }
                }
            }
            List<Row> rows = new ArrayList<>();
            for (Future<Row> f : started) {
                rows.add(f.get());
            }
            return rows;
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } finally {
            pool.shutdownNow();
        }
    }

    private static List<Scenario> scenarios(PolicyOptions options, Deployment d) {
        Stream<Scenario> loads = options.loads().stream().map(Scenario::atLoad);
        Stream<Scenario> faults = options.faults() ? Scenario.faults(d.engines(), d.zones()).stream() : Stream.empty();
        return Stream.concat(loads, faults).toList();
    }

    private static List<Policies.Policy> policies(PolicyOptions options, Deployment d) {
        Stream<Policies.Policy> all = Stream.of(
                Policies.random(),
                Policies.roundRobin(),
                Policies.leastRequests(),
                Policies.hashAffinity(),
                Policies.celerygw(settings(d)));
        return all.filter(p -> options.policy().isEmpty() || options.policy().equals(p.name()))
                .toList();
    }

    private static DispatcherSettings settings(Deployment d) {
        return DispatcherSettings.DEFAULT.withFleetHosts(d.hosts());
    }
}
