package org.celerygw.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.standin.world.Scenario;

/** {@code celerygw scenario FILE...}: runs scripts of calls and faults in simulated time and prints the events. */
final class ScenarioTool {
    private ScenarioTool() {}

    static int run(List<String> args, PrintStream out) {
        if (args.isEmpty() || args.get(0).startsWith("-")) {
            out.println("usage: celerygw scenario FILE...");
            return args.contains("--help") ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
        try {
            for (String file : args) {
                Scenario.run(Path.of(file)).forEach(out::println);
                out.println(file + ": every expectation and property held.");
            }
            return 0;
        } catch (IOException e) {
            out.println("cannot read " + e.getMessage());
            return ErrorCode.NOT_FOUND.exitCode();
        }
    }
}
