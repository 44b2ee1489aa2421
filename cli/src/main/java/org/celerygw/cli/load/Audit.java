package org.celerygw.cli.load;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/**
 * Checks the results of a load run: compares the responses that callers received with the requests that the backend
 * servers executed and with the programs' records.
 */
public final class Audit {
    private final List<ProgramResult> results;
    private final List<ExecutedCall> executedCalls;
    private final Function<String, JsonObject> readRecord;
    private final Function<String, String> expectedAnswer;
    private final Set<String> programsHoldingCache;

    /**
     * A tool call that a tool service executed.
     *
     * @param idempotencyKey the key as the service received it, which ends with the caller's own key
     * @param requestBody the request body as the service received it
     */
    public record ExecutedCall(String idempotencyKey, String requestBody) {}

    /**
     * Creates an audit of finished programs.
     *
     * @param results the programs' results as their callers observed them
     * @param executedCalls the tool calls that the services executed
     * @param readRecord returns a program's record by program id, or an object with the field {@code error}
     * @param expectedAnswer returns the completion text that a stand-in engine generates for a request body
     * @param programsHoldingCache the ids of the programs for which engines still hold cache memory
     */
    public Audit(
            List<ProgramResult> results,
            List<ExecutedCall> executedCalls,
            Function<String, JsonObject> readRecord,
            Function<String, String> expectedAnswer,
            Set<String> programsHoldingCache) {
        this.results = results;
        this.executedCalls = executedCalls;
        this.readRecord = readRecord;
        this.expectedAnswer = expectedAnswer;
        this.programsHoldingCache = programsHoldingCache;
    }

    /**
     * Returns the violations found in the results.
     *
     * @return one sentence for each violation; empty when all checks pass
     */
    public List<String> violations() {
        List<String> violations = new ArrayList<>();
        results.stream()
                .filter(r -> !r.completed())
                .forEach(r -> violations.add("program " + r.script().program() + " did not complete: " + r.failure()));
        results.forEach(r -> checkRecords(r, violations));
        calls().forEach(c -> checkAnswer(c, violations));
        calls().filter(c -> c.toolCall() && !c.repeatable()).forEach(c -> checkAtMostOnce(c, violations));
        calls().filter(c -> c.toolCall() && c.reply().errorField("run_state").equals("NOT_RUN"))
                .filter(c -> executionCount(c) > 0)
                .forEach(c -> violations.add("call " + c.idempotencyKey() + " was refused as NOT_RUN but ran"));
        programIds(results)
                .filter(programsHoldingCache::contains)
                .forEach(p -> violations.add("engines still hold cache memory for " + p));
        return violations;
    }

    private Stream<ProgramResult.Call> calls() {
        return results.stream().flatMap(r -> r.calls().stream());
    }

    private static Stream<String> programIds(List<ProgramResult> results) {
        return results.stream()
                .flatMap(r -> Stream.concat(
                        Stream.of(r.script().program()), r.calls().stream().map(ProgramResult.Call::program)))
                .distinct();
    }

    /** Checks that each program's record lists exactly its own calls in order and that the budget was not exceeded. */
    private void checkRecords(ProgramResult result, List<String> violations) {
        Map<String, List<ProgramResult.Call>> byProgram =
                result.calls().stream().collect(Collectors.groupingBy(ProgramResult.Call::program));
        byProgram.forEach((program, calls) -> {
            JsonObject record = readRecord.apply(program);
            if (record.containsKey("error")) {
                violations.add("the record of " + program + " cannot be read: " + record.getJsonObject("error"));
                return;
            }
            List<JsonObject> recorded = record.getJsonArray("calls", new JsonArray()).stream()
                    .map(JsonObject.class::cast)
                    .toList();
            List<Long> numbers = recorded.stream().map(c -> c.getLong("number")).toList();
            List<Long> expectedNumbers =
                    LongStream.rangeClosed(1, calls.size()).boxed().toList();
            if (!numbers.equals(expectedNumbers)) {
                violations.add(
                        "the record of " + program + " lists the calls " + numbers + ", expected " + expectedNumbers);
            }
            List<String> keys = recorded.stream().map(c -> c.getString("key")).toList();
            if (!keys.equals(
                    calls.stream().map(ProgramResult.Call::idempotencyKey).toList())) {
                violations.add(
                        "the record of " + program + " does not list the keys sent by its caller; found " + keys);
            }
            if (record.getLong("familyTokens", 0L) > result.script().budgetTokens()) {
                violations.add(program + " spent " + record.getLong("familyTokens") + " tokens, more than its budget");
            }
        });
    }

    private void checkAnswer(ProgramResult.Call call, List<String> violations) {
        if (!call.reply().isSuccess()) {
            return;
        }
        boolean matches = call.toolCall()
                ? executedCalls.stream()
                        .anyMatch(e -> e.idempotencyKey().endsWith(":" + call.idempotencyKey())
                                && e.requestBody().equals(call.requestBody()))
                : EventStreams.completionText(call.reply().text()).equals(expectedAnswer.apply(call.requestBody()));
        if (!matches) {
            violations.add("call " + call.idempotencyKey()
                    + " received a response that does not match its request or is incomplete");
        }
    }

    private void checkAtMostOnce(ProgramResult.Call call, List<String> violations) {
        long times = executionCount(call);
        if (times > 1) {
            violations.add("call " + call.idempotencyKey() + " is not repeatable but ran " + times + " times");
        }
    }

    private long executionCount(ProgramResult.Call call) {
        return executedCalls.stream()
                .filter(e -> e.idempotencyKey().endsWith(":" + call.idempotencyKey()))
                .count();
    }
}
