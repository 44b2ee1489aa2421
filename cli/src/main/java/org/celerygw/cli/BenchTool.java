package org.celerygw.cli;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.cli.bench.BenchOptions;
import org.celerygw.cli.bench.BenchResult;
import org.celerygw.cli.bench.EmbeddedBench;
import org.celerygw.cli.bench.GatewayBench;
import org.celerygw.core.error.ErrorCode;

/** {@code celerygw bench}: what a daemon adds to a call; without an address it starts its own daemon. */
final class BenchTool {
    private BenchTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(args.toArray(new String[0]));
            BenchResult result = measure(parsed);
            result.lines().forEach(out::println);
            return result.gateway().failures() == 0 ? 0 : 1;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static BenchResult measure(Namespace parsed) {
        boolean tool = parsed.getBoolean("tool");
        boolean repeatable = !parsed.getBoolean("once");
        if (parsed.getString("gateway") == null) {
            try (EmbeddedBench embedded = EmbeddedBench.start()) {
                return embedded.run(sized(tool ? embedded.tool(repeatable) : embedded.model(), parsed));
            }
        }
        URI gateway = URI.create(parsed.getString("gateway"));
        URI direct = URI.create(parsed.getString("direct"));
        String key = parsed.getString("key");
        String target = parsed.getString("target");
        BenchOptions options = tool
                ? BenchOptions.tool(gateway, key, direct, target, repeatable)
                : BenchOptions.model(gateway, key, direct, target);
        Vertx vertx = Vertx.vertx();
        try {
            return GatewayBench.run(vertx, sized(options, parsed)).await();
        } finally {
            vertx.close().await();
        }
    }

    private static BenchOptions sized(BenchOptions options, Namespace parsed) {
        int workers = parsed.getInt("workers");
        int calls = parsed.getInt("calls");
        return workers > 1 ? options.throughput(workers, calls) : options.counting(calls, parsed.getLong("pause_ms"));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw bench")
                .build()
                .description("Sends the same call through a daemon and directly, in turn, and prints both latencies. "
                        + "Without --gateway it starts a daemon and stand-ins of its own.");
        parser.addArgument("--tool").action(Arguments.storeTrue()).help("send tool calls, not streamed model calls");
        parser.addArgument("--once").action(Arguments.storeTrue()).help("tool calls that may not be repeated");
        parser.addArgument("--workers")
                .type(Integer.class)
                .setDefault(1)
                .help("callers at once; with more than one all calls go through the daemon");
        parser.addArgument("--calls").type(Integer.class).setDefault(500).help("calls of each caller that count");
        parser.addArgument("--pause-ms")
                .type(Long.class)
                .setDefault(50L)
                .help("a single caller's pause before each call");
        parser.addArgument("--gateway").metavar("URI").help("a daemon's address for callers");
        parser.addArgument("--key").metavar("KEY").setDefault("").help("the caller key for that daemon");
        parser.addArgument("--direct").metavar("URI").help("the engine or service that the daemon sends to");
        parser.addArgument("--target").metavar("NAME").setDefault("").help("the model's or the service's name");
        return parser;
    }
}
