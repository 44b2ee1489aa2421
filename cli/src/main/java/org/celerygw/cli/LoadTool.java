package org.celerygw.cli;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.cli.load.Caller;
import org.celerygw.cli.load.LoadRun;
import org.celerygw.cli.load.ProgramResult;
import org.celerygw.cli.load.StandinClient;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.standin.EngineOptions;
import org.celerygw.standin.EngineServer;

/** {@code celerygw load}: sends the calls of programs to running daemons on stand-ins and audits the outcome. */
final class LoadTool {
    private LoadTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            return runLoad(parser.parseArgs(args.toArray(new String[0])), out);
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static int runLoad(Namespace parsed, PrintStream out) {
        Vertx vertx = Vertx.vertx();
        try {
            Caller caller = new Caller(
                    vertx, parseUris(parsed, "hosts"), parsed.getString("key"), parsed.getInt("patience_ms"));
            LoadRun load = new LoadRun(
                    caller,
                    LoadRun.createScripts(
                            parsed.getString("prefix"), parsed.getInt("declarations"), parsed.getInt("sessions")),
                    out);
            List<ProgramResult> results = load.run(() -> {});
            // A local engine computes the response that the stand-ins are expected to give to a request.
            EngineServer engine =
                    EngineServer.start(vertx, EngineOptions.onPort(0)).await();
            StandinClient backends =
                    new StandinClient(vertx, URI.create(parsed.getString("tools")), parseUris(parsed, "engines"));
            return load.audit(results, backends, body -> engine.expectedAnswer(new JsonObject(body)));
        } finally {
            vertx.close().await();
        }
    }

    private static List<URI> parseUris(Namespace parsed, String option) {
        return Arrays.stream(parsed.getString(option).split(","))
                .map(String::strip)
                .map(URI::create)
                .toList();
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw load")
                .build()
                .description("Sends the calls of programs to running daemons on stand-ins and audits the outcome.");
        parser.addArgument("--hosts").required(true).help("the entry hosts, as URIs separated by commas");
        parser.addArgument("--tools").required(true).help("the URI of the stand-in tool services");
        parser.addArgument("--engines").required(true).help("the URIs of the stand-in engines, separated by commas");
        parser.addArgument("--key").required(true).help("the caller key");
        parser.addArgument("--prefix").setDefault("").help("prefix of every program id");
        parser.addArgument("--declarations").type(Integer.class).setDefault(12).help("number of declaration programs");
        parser.addArgument("--sessions").type(Integer.class).setDefault(6).help("number of mastering sessions");
        parser.addArgument("--patience-ms")
                .type(Integer.class)
                .setDefault(60_000)
                .help("how long a request is retried, in milliseconds");
        return parser;
    }
}
