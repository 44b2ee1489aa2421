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

/** Runs many programs at once through a deployment, reports each as it ends, and audits them together. */
public final class LoadRun {
    private static final int MOST_READS = 3;

    private final Caller caller;
    private final List<Script> scripts;
    private final PrintStream out;

    /**
     * Makes a run.
     *
     * @param caller sends the requests
     * @param scripts the programs
     * @param out where to report
     */
    public LoadRun(Caller caller, List<Script> scripts, PrintStream out) {
        this.caller = caller;
        this.scripts = List.copyOf(scripts);
        this.out = out;
    }

    /**
     * Returns the scripts of a mix of both workloads.
     *
     * @param prefix begins every program's id
     * @param declarations how many declaration programs
     * @param sessions how many mastering sessions
     * @return the scripts
     */
    public static List<Script> mix(String prefix, int declarations, int sessions) {
        return Stream.concat(
                        IntStream.range(0, declarations).mapToObj(i -> Script.declaration(prefix + "litoral-" + i)),
                        IntStream.range(0, sessions).mapToObj(i -> Script.session(prefix + "fraserline-" + i, 4)))
                .toList();
    }

    /**
     * Runs all programs at once.
     *
     * @param meanwhile done while they run
     * @return how each went
     */
    public List<ProgramResult> run(Runnable meanwhile) {
        ExecutorService threads = Executors.newFixedThreadPool(scripts.size());
        try {
            List<Future<ProgramResult>> running = scripts.stream()
                    .map(s -> threads.submit(() -> progress(new ProgramRun(caller, s).run())))
                    .toList();
            meanwhile.run();
            return running.stream().map(LoadRun::result).toList();
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * Audits the programs and prints what is wrong.
     *
     * @param results how the programs went
     * @param backends what the back ends saw
     * @param expectedAnswer returns the model's answer to a request
     * @return 0 when nothing is wrong, else 1
     */
    public int audit(List<ProgramResult> results, BackendView backends, UnaryOperator<String> expectedAnswer) {
        Audit audit =
                new Audit(results, backends.executed(), this::explain, expectedAnswer, backends.heldAfterAWhile());
        List<String> faults = audit.faults();
        printLatency(results);
        out.printf("load: %d requests repeated by callers, %d cut off.%n", caller.retries(), caller.cutOff());
        faults.forEach(f -> out.println("load: FAULT: " + f));
        if (faults.isEmpty()) {
            out.println("load: nothing was lost, nothing ran twice, every answer was whole.");
        }
        return faults.isEmpty() ? 0 : 1;
    }

    /**
     * Returns a program's record; asks again when its owner did not answer in time, as the refusal says.
     *
     * @param program its id
     * @return the record, or the last refusal
     */
    public JsonObject explain(String program) {
        for (int left = MOST_READS; ; left--) {
            Reply reply = caller.send(HttpMethod.GET, "/v1/programs/" + program, Map.of(), Buffer.buffer());
            if (left == 1 || !"DEADLINE_EXCEEDED".equals(reply.error("code"))) {
                return new JsonObject(reply.text());
            }
        }
    }

    private void printLatency(List<ProgramResult> results) {
        Histogram latencyMs = new Histogram(3);
        results.stream().filter(ProgramResult::done).forEach(r -> latencyMs.recordValue(r.latencyMs()));
        out.printf(
                "load: %d of %d programs ended; latency p50 %d ms, p95 %d ms, p99 %d ms.%n",
                latencyMs.getTotalCount(),
                results.size(),
                latencyMs.getValueAtPercentile(50),
                latencyMs.getValueAtPercentile(95),
                latencyMs.getValueAtPercentile(99));
    }

    private ProgramResult progress(ProgramResult result) {
        out.printf(
                Locale.ROOT,
                "load: %-16s %-14s %-6s %6d ms, %2d calls%s%n",
                result.script().program(),
                result.script().priorityClass(),
                result.done() ? "done" : "FAILED",
                result.latencyMs(),
                result.calls().size(),
                result.done() ? "" : ": " + result.failure());
        return result;
    }

    private static ProgramResult result(Future<ProgramResult> running) {
        try {
            return running.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("A program's run broke off.", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted.", e);
        }
    }
}
