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

/** {@code celerygw demo}: the whole system in one process, with one daemon killed on the way. */
final class DemoTool {
    private DemoTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(args.toArray(new String[0]));
            return new Demo(options(parsed), out).run();
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static Demo.Options options(Namespace parsed) {
        return new Demo.Options(
                parsed.getInt("daemons"),
                parsed.getInt("engines"),
                parsed.getInt("declarations"),
                parsed.getInt("sessions"));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw demo")
                .build()
                .description("Runs daemons on embedded stand-ins, drives programs through them and kills one daemon.");
        Demo.Options usual = Demo.Options.DEFAULT;
        number(parser, "--daemons", usual.daemons(), "how many daemons, at least 2");
        number(parser, "--engines", usual.engines(), "how many engines");
        number(parser, "--declarations", usual.declarations(), "how many declaration programs");
        number(parser, "--sessions", usual.sessions(), "how many mastering sessions");
        return parser;
    }

    private static void number(ArgumentParser parser, String name, int usual, String help) {
        parser.addArgument(name).type(Integer.class).setDefault(usual).help(help);
    }
}
