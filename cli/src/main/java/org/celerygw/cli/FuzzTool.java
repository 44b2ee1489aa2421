package org.celerygw.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.standin.world.Fuzz;

/** {@code celerygw fuzz}: checks random calls, crashes, pauses and store faults in simulated time with the oracle. */
final class FuzzTool {
    private FuzzTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            return runSeeds(parser.parseArgs(args.toArray(new String[0])), out);
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static int runSeeds(Namespace parsed, PrintStream out) {
        long firstSeed = parsed.getLong("seed");
        for (long seed = firstSeed; seed < firstSeed + parsed.getInt("seeds"); seed++) {
            Fuzz.Report report = Fuzz.run(seed, parsed.getInt("steps"), parsed.getBoolean("timeline"));
            report.timeline().forEach(out::println);
            out.printf("seed %d: %d steps, %d answers%n", seed, report.steps(), report.answers());
            if (!report.violations().isEmpty()) {
                report.violations().forEach(v -> out.println("VIOLATION: " + v));
                return 1;
            }
        }
        return 0;
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw fuzz")
                .build()
                .description("Runs random steps and checks them with the oracle; "
                        + "stops at the first violation with exit code 1.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("the first seed");
        parser.addArgument("--seeds").type(Integer.class).setDefault(20).help("number of seeds");
        parser.addArgument("--steps").type(Integer.class).setDefault(200).help("steps per seed");
        parser.addArgument("--timeline").action(Arguments.storeTrue()).help("print every event");
        return parser;
    }
}
