package org.celerygw.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.celerygw.cli.bench.FleetBench;
import org.celerygw.cli.experiment.PolicyExperiment;
import org.celerygw.core.error.ErrorCode;

/** {@code celerygw experiment NAME}: runs an experiment in simulated time. */
final class ExperimentTool {
    private static final Map<String, Tools.EntryPoint> EXPERIMENTS =
            Map.of("policy", PolicyExperiment::run, "fleet", FleetBench::run, "state", StateBenchTool::run);

    private ExperimentTool() {}

    static int run(List<String> args, PrintStream out) {
        Tools.EntryPoint experiment = args.isEmpty() ? null : EXPERIMENTS.get(args.get(0));
        if (experiment == null) {
            out.println("usage: celerygw experiment {policy|fleet|state} [OPTIONS]");
            return ErrorCode.INVALID_ARGUMENT.exitCode();
        }
        return experiment.run(args.subList(1, args.size()), out);
    }
}
