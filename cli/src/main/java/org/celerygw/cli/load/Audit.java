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

/** Compares what callers got with what the back ends saw and what the system recorded. */
public final class Audit {
    private final List<ProgramResult> results;
    private final List<Executed> executed;
    private final Function<String, JsonObject> explain;
    private final Function<String, String> expectedAnswer;
    private final Set<String> held;

    /**
     * A tool call that a service ran.
     *
     * @param key the idempotency key that the service saw
     * @param body the body that it saw
     */
    public record Executed(String key, String body) {}

    /**
     * Makes an audit.
     *
     * @param results how the programs went
     * @param executed what the tool services ran
     * @param explain returns a program's record
     * @param expectedAnswer returns the model's answer to a request
     * @param held the programs for which engines hold memory now
     */
    public Audit(
            List<ProgramResult> results,
            List<Executed> executed,
            Function<String, JsonObject> explain,
            Function<String, String> expectedAnswer,
            Set<String> held) {
        this.results = results;
        this.executed = executed;
        this.explain = explain;
        this.expectedAnswer = expectedAnswer;
        this.held = held;
    }

    /**
     * Checks everything.
     *
     * @return what is wrong, a sentence each; empty when nothing is
     */
    public List<String> faults() {
        List<String> faults = new ArrayList<>();
        results.stream()
                .filter(r -> !r.done())
                .forEach(r -> faults.add("program " + r.script().program() + " did not end: " + r.failure()));
        results.forEach(r -> records(r, faults));
        calls().forEach(c -> wholeAnswer(c, faults));
        calls().filter(c -> c.tool() && !c.repeatable()).forEach(c -> atMostOnce(c, faults));
        calls().filter(c -> c.tool() && c.reply().error("run_state").equals("NOT_RUN"))
                .filter(c -> executions(c) > 0)
                .forEach(c -> faults.add("call " + c.key() + " was refused as NOT_RUN but ran"));
        programs(results).filter(held::contains).forEach(p -> faults.add("engines still hold memory for " + p));
        return faults;
    }

    private Stream<ProgramResult.Call> calls() {
        return results.stream().flatMap(r -> r.calls().stream());
    }

    private static Stream<String> programs(List<ProgramResult> results) {
        return results.stream()
                .flatMap(r -> Stream.concat(
                        Stream.of(r.script().program()), r.calls().stream().map(ProgramResult.Call::program)))
                .distinct();
    }

    /** The record holds each program's own calls, all of them, in their order, within the budget. */
    private void records(ProgramResult result, List<String> faults) {
        Map<String, List<ProgramResult.Call>> byProgram =
                result.calls().stream().collect(Collectors.groupingBy(ProgramResult.Call::program));
        byProgram.forEach((program, calls) -> {
            JsonObject record = explain.apply(program);
            if (record.containsKey("error")) {
                faults.add("the record of " + program + " cannot be read: " + record.getJsonObject("error"));
                return;
            }
            List<JsonObject> recorded = record.getJsonArray("calls", new JsonArray()).stream()
                    .map(JsonObject.class::cast)
                    .toList();
            List<Long> numbers = recorded.stream().map(c -> c.getLong("number")).toList();
            List<Long> wanted = LongStream.rangeClosed(1, calls.size()).boxed().toList();
            if (!numbers.equals(wanted)) {
                faults.add("the record of " + program + " holds the calls " + numbers + " and not " + wanted);
            }
            List<String> keys = recorded.stream().map(c -> c.getString("key")).toList();
            if (!keys.equals(calls.stream().map(ProgramResult.Call::key).toList())) {
                faults.add("the record of " + program + " holds the keys " + keys);
            }
            if (record.getLong("familyTokens", 0L) > result.script().budgetTokens()) {
                faults.add(program + " spent " + record.getLong("familyTokens") + " tokens, beyond its budget");
            }
        });
    }

    private void wholeAnswer(ProgramResult.Call call, List<String> faults) {
        if (!call.reply().ok()) {
            return;
        }
        boolean own = call.tool()
                ? executed.stream()
                        .anyMatch(e ->
                                e.key().endsWith(":" + call.key()) && e.body().equals(call.request()))
                : Streams.content(call.reply().text()).equals(expectedAnswer.apply(call.request()));
        if (!own) {
            faults.add("call " + call.key() + " got an answer that is not its own or not whole");
        }
    }

    private void atMostOnce(ProgramResult.Call call, List<String> faults) {
        long times = executions(call);
        if (times > 1) {
            faults.add("call " + call.key() + " may not be repeated but ran " + times + " times");
        }
    }

    private long executions(ProgramResult.Call call) {
        return executed.stream().filter(e -> e.key().endsWith(":" + call.key())).count();
    }
}
