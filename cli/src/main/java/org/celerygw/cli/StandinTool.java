package org.celerygw.cli;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.standin.Standin;
import org.celerygw.standin.StandinOptions;

/** {@code celerygw standin}: runs the stand-ins until the process is stopped. */
final class StandinTool {
    private static final int DEFAULT_PORT = 9_000;

    private StandinTool() {}

    static int run(List<String> args, PrintStream out) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(args.toArray(new String[0]));
            serve(StandinOptions.fromPort(parsed.getInt("port"), parsed.getInt("engines")), out);
            return 0;
        } catch (ArgumentParserException e) {
            parser.handleError(e, new PrintWriter(out, true, StandardCharsets.UTF_8));
            return e instanceof HelpScreenException ? 0 : ErrorCode.INVALID_ARGUMENT.exitCode();
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("celerygw standin")
                .build()
                .description("Runs stand-ins for the store, the tool services and the engines on loopback.");
        parser.addArgument("--port")
                .type(Integer.class)
                .setDefault(DEFAULT_PORT)
                .help("the port of the store; the tool services use the next one, the engines the ones after it");
        parser.addArgument("--engines").type(Integer.class).setDefault(2).help("number of engines");
        return parser;
    }

    private static void serve(StandinOptions options, PrintStream out) {
        Vertx vertx = Vertx.vertx();
        try {
            Standin standin = Standin.start(vertx, options).await();
            standin.addresses().forEach(out::println);
            awaitStop(vertx);
        } catch (RuntimeException e) {
            vertx.close().await();
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "the stand-ins cannot start: " + e.getMessage());
        }
    }

    private static void awaitStop(Vertx vertx) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vertx.close().onComplete(v -> stopped.countDown())));
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
