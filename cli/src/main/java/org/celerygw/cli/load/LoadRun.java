package org.celerygw.cli.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/** Runs programs concurrently through a deployment, prints each result and audits all results together. */
public final class LoadRun {
    private static final int MAX_READ_ATTEMPTS = 3;

    private final Caller caller;
    private final List<Script> scripts;
    private final PrintStream out;

    /**
     * Creates a run.
     *
     * @param caller the client that sends the programs' requests
     * @param scripts one script for each program
     * @param out receives the result lines and the audit report
     */
    public LoadRun(Caller caller, List<Script> scripts, PrintStream out) {
        this.caller = caller;
        this.scripts = List.copyOf(scripts);
        this.out = out;
    }

    /**
     * Returns scripts for a mix of both workloads.
     *
     * @param prefix the prefix of every program id
     * @param declarations the number of declaration programs
     * @param sessions the number of mastering sessions
     * @return the declaration scripts, then the session scripts
     */
    public static List<Script> createScripts(String prefix, int declarations, int sessions) {
        return Stream.concat(
                        IntStream.range(0, declarations).mapToObj(i -> Script.declaration(prefix + "litoral-" + i)),
                        IntStream.range(0, sessions)
                                .mapToObj(i -> Script.masteringSession(prefix + "fraserline-" + i, 4)))
                .toList();
    }

    /**
     * Runs all programs concurrently, each on its own thread, and waits for them to finish.
     *
     * @param duringRun run on the calling thread once the programs have been started
     * @return the results in the order of the scripts
     */
    public List<ProgramResult> run(Runnable duringRun) {
        ExecutorService threads = Executors.newFixedThreadPool(scripts.size());
        try {
            List<Future<ProgramResult>> running = scripts.stream()
                    .map(s -> threads.submit(() -> printResult(new ProgramRun(caller, s).run())))
                    .toList();
            duringRun.run();
            return running.stream().map(LoadRun::awaitResult).toList();
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * Audits the results and prints the latencies and each violation.
     *
     * @param results the programs' results as their callers observed them
     * @param backends reads what the stand-ins executed and still hold
     * @param expectedAnswer returns the completion text that a stand-in engine generates for a request body
     * @return 0 without violations, else 1
     */
    public int audit(List<ProgramResult> results, StandinClient backends, UnaryOperator<String> expectedAnswer) {
        Audit audit = new Audit(
                results, backends.executedCalls(), this::readRecord, expectedAnswer, backends.awaitCacheRelease());
        List<String> violations = audit.violations();
        printLatency(results);
        out.printf("load: %d requests retried by callers, %d cut off.%n", caller.retryCount(), caller.cutOffCount());
        violations.forEach(v -> out.println("load: FAULT: " + v));
        if (violations.isEmpty()) {
            out.println("load: no program lost, no unrepeatable call run twice, all responses complete.");
        }
        return violations.isEmpty() ? 0 : 1;
    }

    /**
     * Returns a program's record, read up to 3 times while the response is {@code DEADLINE_EXCEEDED}, which means that
     * the program's owner did not respond in time and the read may be retried.
     *
     * @param program the program's id
     * @return the record, or the last error response
     */
    public JsonObject readRecord(String program) {
        for (int attemptsLeft = MAX_READ_ATTEMPTS; ; attemptsLeft--) {
            Reply reply = caller.send(HttpMethod.GET, "/v1/programs/" + program, Map.of(), Buffer.buffer());
            if (attemptsLeft == 1 || !"DEADLINE_EXCEEDED".equals(reply.errorField("code"))) {
                return new JsonObject(reply.text());
            }
        }
    }

    private void printLatency(List<ProgramResult> results) {
        Histogram latencyMs = new Histogram(3);
        results.stream().filter(ProgramResult::completed).forEach(r -> latencyMs.recordValue(r.latencyMs()));
        out.printf(
                "load: %d of %d programs completed; latency p50 %d ms, p95 %d ms, p99 %d ms.%n",
                latencyMs.getTotalCount(),
                results.size(),
                latencyMs.getValueAtPercentile(50),
                latencyMs.getValueAtPercentile(95),
                latencyMs.getValueAtPercentile(99));
    }

    private ProgramResult printResult(ProgramResult result) {
        out.printf(
                Locale.ROOT,
                "load: %-16s %-14s %-6s %6d ms, %2d calls%s%n",
                result.script().program(),
                result.script().priorityClass(),
                result.completed() ? "done" : "FAILED",
                result.latencyMs(),
                result.calls().size(),
                result.completed() ? "" : ": " + result.failure());
        return result;
    }

    private static ProgramResult awaitResult(Future<ProgramResult> running) {
        try {
            return running.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("A program's run failed with an exception.", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted.", e);
        }
    }
}
