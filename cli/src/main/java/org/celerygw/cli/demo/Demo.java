package org.celerygw.cli.demo;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.cli.load.Audit;
import org.celerygw.cli.load.Caller;
import org.celerygw.cli.load.ProgramResult;
import org.celerygw.cli.load.ProgramRun;
import org.celerygw.cli.load.Script;

/**
 * Shows the whole system in one process: several daemons on embedded stand-ins serve declarations and mastering
 * sessions; one daemon is killed on the way.
 */
public final class Demo {
    private static final long PATIENCE_MS = 60_000;
    private static final long KILL_AFTER_MS = 1_500;

    private final Options options;
    private final PrintStream out;

    /**
     * What to run.
     *
     * @param daemons how many daemons, at least 2
     * @param engines how many engines
     * @param declarations how many declaration programs
     * @param sessions how many mastering sessions
     */
    public record Options(int daemons, int engines, int declarations, int sessions) {
        /** A run of some seconds. */
        public static final Options DEFAULT = new Options(3, 3, 12, 6);
    }

    /**
     * Makes a demo.
     *
     * @param options what to run
     * @param out where to print
     */
    public Demo(Options options, PrintStream out) {
        this.options = options;
        this.out = out;
    }

    /**
     * Runs it.
     *
     * @return 0 when nothing was lost and nothing ran twice, else 1
     */
    public int run() {
        out.printf(
                "demo: starting %d daemons, %d engines, the store and the tools.%n", options.daemons, options.engines);
        try (LocalDeployment deployment = LocalDeployment.start(options.daemons, options.engines, "")) {
            out.println("demo: ready; callers at " + deployment.hosts() + ".");
            Caller caller = new Caller(deployment.vertx(), deployment.hosts(), LocalDeployment.CALLER_KEY, PATIENCE_MS);
            List<ProgramResult> results = runPrograms(deployment, caller);
            return report(deployment, caller, results);
        }
    }

    private List<ProgramResult> runPrograms(LocalDeployment deployment, Caller caller) {
        List<Script> scripts = scripts();
        out.printf("demo: %d programs begin.%n", scripts.size());
        ExecutorService threads = Executors.newFixedThreadPool(scripts.size());
        try {
            List<Future<ProgramResult>> running = scripts.stream()
                    .map(s -> threads.submit(() -> progress(new ProgramRun(caller, s).run())))
                    .toList();
            LocalDeployment.pause(KILL_AFTER_MS);
            int last = options.daemons - 1;
            out.println("demo: killing daemon " + deployment.daemon(last).host() + ".");
            LocalDeployment.await(deployment.daemon(last).kill());
            return running.stream().map(Demo::result).toList();
        } finally {
            threads.shutdownNow();
        }
    }

    private List<Script> scripts() {
        return Stream.concat(
                        IntStream.range(0, options.declarations).mapToObj(i -> Script.declaration("litoral-" + i)),
                        IntStream.range(0, options.sessions).mapToObj(i -> Script.session("fraserline-" + i, 4)))
                .toList();
    }

    private ProgramResult progress(ProgramResult result) {
        out.printf(
                Locale.ROOT,
                "demo: %-14s %-14s %-6s %5d ms, %2d calls%s%n",
                result.script().program(),
                result.script().priorityClass(),
                result.done() ? "done" : "FAILED",
                result.latencyMs(),
                result.calls().size(),
                result.done() ? "" : ": " + result.failure());
        return result;
    }

    private int report(LocalDeployment deployment, Caller caller, List<ProgramResult> results) {
        Audit audit = new Audit(
                results,
                deployment.standin().tools().executions().stream()
                        .map(e -> new Audit.Executed(e.idempotencyKey(), e.body()))
                        .toList(),
                program -> explain(caller, program),
                body -> deployment.standin().engine(0).expectedAnswer(new JsonObject(body)),
                new Engines(deployment).heldAfterAWhile());
        List<String> faults = audit.faults();
        String first = results.get(0).script().program();
        out.println("demo: the record of " + first + ":");
        out.println(explain(caller, first).encodePrettily());
        out.printf("demo: %d requests were repeated by callers.%n", caller.retries());
        faults.forEach(f -> out.println("demo: FAULT: " + f));
        if (faults.isEmpty()) {
            out.println("demo: nothing was lost, nothing ran twice, every answer was whole.");
        }
        return faults.isEmpty() ? 0 : 1;
    }

    private static JsonObject explain(Caller caller, String program) {
        return new JsonObject(caller.send(HttpMethod.GET, "/v1/programs/" + program, Map.of(), Buffer.buffer())
                .text());
    }

    private static ProgramResult result(Future<ProgramResult> running) {
        try {
            return running.get();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException("A program's run broke off.", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted.", e);
        }
    }
}
