package org.celerygw.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.cli.demo.Demo;
import org.celerygw.core.error.ErrorCode;

/** {@code celerygw demo}: runs the complete system in one process and kills one daemon during the run. */
final class DemoTool {
    private DemoTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(args.toArray(new String[0]));
            return new Demo(toOptions(parsed), out).run();
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static Demo.Options toOptions(Namespace parsed) {
        return new Demo.Options(
                parsed.getInt("daemons"),
                parsed.getInt("engines"),
                parsed.getInt("declarations"),
                parsed.getInt("sessions"));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw demo")
                .build()
                .description(
                        "Runs daemons on embedded stand-ins, sends the calls of programs to them and kills one daemon.");
        Demo.Options defaults = Demo.Options.DEFAULT;
        addIntOption(parser, "--daemons", defaults.daemons(), "number of daemons, at least 2");
        addIntOption(parser, "--engines", defaults.engines(), "number of engines");
        addIntOption(parser, "--declarations", defaults.declarations(), "number of declaration programs");
        addIntOption(parser, "--sessions", defaults.sessions(), "number of mastering sessions");
        return parser;
    }

    private static void addIntOption(ArgumentParser parser, String name, int defaultValue, String help) {
        parser.addArgument(name).type(Integer.class).setDefault(defaultValue).help(help);
    }
}
