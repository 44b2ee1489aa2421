package org.celerygw.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;

/** The command line for operators and monitoring: {@code celerygw program list --server 10.0.0.1:8081}. */
public final class Main {
    private Main() {}

    /**
     * Runs one command and exits the process with its exit code.
     *
     * @param args the name of a tool or command, then its arguments
     */
    public static void main(String[] args) {
        Logging.toStandardError();
        System.exit(run(List.of(args), System.out, System.err));
    }

    static int run(List<String> args, PrintStream out, PrintStream err) {
        if (!args.isEmpty() && Tools.ALL.containsKey(args.get(0))) {
            return runTool(args, out, err);
        }
        ArgumentParser parser = CommandLine.newParser();
        try {
            return runCommand(parser.parseArgs(args.toArray(new String[0])), out, err);
        } catch (HelpScreenException e) { // argparse4j has already printed the help
            return 0;
        } catch (ArgumentParserException e) {
            e.getParser().handleError(e, new PrintWriter(err, true, StandardCharsets.UTF_8));
            return ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static int runTool(List<String> args, PrintStream out, PrintStream err) {
        try {
            return Tools.ALL.get(args.get(0)).entryPoint().run(args.subList(1, args.size()), out);
        } catch (GatewayException e) {
            return reportFailure(e, false, err);
        }
    }

    private static int runCommand(Namespace namespace, PrintStream out, PrintStream err) {
        boolean json = Boolean.TRUE.equals(namespace.getBoolean("json"));
        try (Session session = new Session(namespace, new Output(out, json))) {
            Command command = namespace.get(CommandLine.COMMAND_KEY);
            return command.run(session);
        } catch (GatewayException e) {
            return reportFailure(e, json, err);
        } catch (UnreachableException e) {
            printError("UNREACHABLE", e.runState(), 0, e.getMessage(), json, err);
            return UnreachableException.EXIT_CODE;
        }
    }

    private static int reportFailure(GatewayException e, boolean json, PrintStream err) {
        printError(e.code().name(), e.runState(), e.retryAfterMs(), e.getMessage(), json, err);
        return e.code().exitCode();
    }

    private static void printError(
            String code, RunState runState, long retryAfterMs, String message, boolean json, PrintStream err) {
        if (json) {
            JsonObject error = new JsonObject()
                    .put("code", code)
                    .put("run_state", runState.name())
                    .put("retry_after_ms", retryAfterMs)
                    .put("message", message);
            err.println(new JsonObject().put("error", error).encode());
            return;
        }
        String hint = retryAfterMs > 0 ? " Retry after " + retryAfterMs + " ms." : "";
        err.println("celerygw: " + code + " (" + runState + "): " + message + hint);
    }
}
