package org.celerygw.daemon;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.function.ToIntFunction;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.core.helper.ProcessSignals;
import org.celerygw.daemon.settings.Settings;
import org.celerygw.daemon.settings.SettingsException;

/** The command {@code celerygwd FILE}, which runs a daemon; {@code --check} only validates the settings file. */
public final class Main {
    private Main() {}

    /**
     * Runs the command and exits the process.
     *
     * @param args the command line: an optional {@code --check} and the path of the settings file
     */
    public static void main(String[] args) {
        ProcessSignals signals = ProcessSignals.install();
        System.exit(run(args, System.out, System.err, settings -> new DaemonProcess(settings, signals).run()));
    }

    static int run(String[] args, PrintStream out, PrintStream err, ToIntFunction<Settings> starter) {
        ArgumentParser parser = argumentParser();
        try {
            Namespace parsed = parser.parseArgs(args);
            Settings settings = Settings.load(Path.of(parsed.getString("file")));
            if (!parsed.getBoolean("check")) {
                return starter.applyAsInt(settings);
            }
            out.println("settings: " + parsed.getString("file") + " is valid.");
            return 0;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : 2;
        } catch (SettingsException e) {
            e.problems().forEach(problem -> err.println("settings: " + problem));
            return e.code().exitCode();
        }
    }

    private static ArgumentParser argumentParser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygwd").build().description("Runs one celerygw daemon.");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("validate the settings file, print every problem and exit");
        parser.addArgument("file").metavar("FILE").help("the settings file; see: celerygw settings example");
        return parser;
    }
}
