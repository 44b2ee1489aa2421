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

/**
 * {@code celerygw bench}: measures the latency that a daemon adds to a call. Without {@code --gateway} it starts an
 * embedded daemon.
 */
final class BenchTool {
    private BenchTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(args.toArray(new String[0]));
            BenchResult result = runBenchmark(parsed);
            result.lines().forEach(out::println);
            return result.gateway().failures() == 0 ? 0 : 1;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static BenchResult runBenchmark(Namespace parsed) {
        boolean tool = parsed.getBoolean("tool");
        boolean repeatable = !parsed.getBoolean("once");
        if (parsed.getString("gateway") == null) {
            try (EmbeddedBench embedded = EmbeddedBench.start()) {
                return embedded.run(withWorkload(tool ? embedded.tool(repeatable) : embedded.model(), parsed));
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
            return GatewayBench.run(vertx, withWorkload(options, parsed)).await();
        } finally {
            vertx.close().await();
        }
    }

    private static BenchOptions withWorkload(BenchOptions options, Namespace parsed) {
        int workers = parsed.getInt("workers");
        int calls = parsed.getInt("calls");
        return workers > 1 ? options.throughput(workers, calls) : options.counting(calls, parsed.getLong("pause_ms"));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw bench")
                .build()
                .description(
                        "Sends the same call alternately through a daemon and directly, and prints both latencies. "
                                + "Without --gateway it starts an embedded daemon and stand-ins.");
        parser.addArgument("--tool")
                .action(Arguments.storeTrue())
                .help("send tool calls instead of streamed model calls");
        parser.addArgument("--once").action(Arguments.storeTrue()).help("mark tool calls as not repeatable");
        parser.addArgument("--workers")
                .type(Integer.class)
                .setDefault(1)
                .help("number of concurrent callers; with more than one, all calls go through the daemon");
        parser.addArgument("--calls").type(Integer.class).setDefault(500).help("measured calls per caller");
        parser.addArgument("--pause-ms")
                .type(Long.class)
                .setDefault(50L)
                .help("pause before each call when there is a single caller");
        parser.addArgument("--gateway").metavar("URI").help("the caller address of a daemon");
        parser.addArgument("--key").metavar("KEY").setDefault("").help("the caller key for that daemon");
        parser.addArgument("--direct").metavar("URI").help("the address of the engine or service behind the daemon");
        parser.addArgument("--target").metavar("NAME").setDefault("").help("the name of the model or service");
        return parser;
    }
}
