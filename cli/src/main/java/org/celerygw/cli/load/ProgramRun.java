package org.celerygw.cli.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs one script through a deployment, a step after the other. */
public final class ProgramRun {
    private static final String TIMEOUT_MS = "60000";

    private final Caller caller;
    private final Script script;
    private final List<ProgramResult.Call> calls = new ArrayList<>();

    /**
     * Makes a run.
     *
     * @param caller sends the requests
     * @param script what to do
     */
    public ProgramRun(Caller caller, Script script) {
        this.caller = caller;
        this.script = script;
    }

    /**
     * Runs the script to its end or to its first step that fails.
     *
     * @return how it went
     */
    public ProgramResult run() {
        long beganNs = System.nanoTime();
        String failure = runProgram(script.program(), "", script.steps());
        long latencyMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNs);
        return new ProgramResult(script, failure.isEmpty(), failure, latencyMs, calls);
    }

    private String runProgram(String program, String parent, List<Step> steps) {
        Reply created = create(program, parent);
        // A retry whose first try was lost finds the program there already.
        if (!created.ok() && !created.error("code").equals("CONFLICT")) {
            return "create: " + describe(created);
        }
        JsonArray messages = new JsonArray().add(message("system", script.system()));
        long number = 0;
        for (Step step : steps) {
            number += step instanceof Step.Ask || step instanceof Step.Use ? 1 : 0;
            String failure = step(program, number, step, messages);
            if (!failure.isEmpty()) {
                return program + " #" + number + ": " + failure;
            }
        }
        Reply ended = caller.send(HttpMethod.POST, "/v1/programs/" + program + "/end", Map.of(), Buffer.buffer());
        return ended.ok() || ended.error("code").equals("PROGRAM_ENDED") ? "" : "end: " + describe(ended);
    }

    private Reply create(String program, String parent) {
        JsonObject body = new JsonObject()
                .put("program", program)
                .put("priority_class", script.priorityClass())
                .put("budget_tokens", script.budgetTokens());
        if (!parent.isEmpty()) {
            body.put("parent", parent);
        }
        return caller.send(HttpMethod.POST, "/v1/programs", Map.of(), body.toBuffer());
    }

    private String step(String program, long number, Step step, JsonArray messages) {
        if (step instanceof Step.Ask ask) {
            return ask(program, number, ask, messages);
        }
        if (step instanceof Step.Use use) {
            Reply reply = call(
                    program, number, "/v1/tools/" + use.service() + use.path(), use.body(), true, use.repeatable());
            return reply.ok() ? "" : describe(reply);
        }
        if (step instanceof Step.SubAgent sub) {
            return runProgram(program + "/" + sub.name(), program, sub.steps());
        }
        Caller.pause(((Step.Pause) step).pauseMs());
        return "";
    }

    private String ask(String program, long number, Step.Ask ask, JsonArray messages) {
        messages.add(message("user", ask.content()));
        JsonObject body = new JsonObject()
                .put("model", script.model())
                .put("stream", true)
                .put("max_tokens", ask.maxTokens())
                .put("messages", messages);
        Reply reply = call(program, number, "/v1/chat/completions", body.encode(), false, true);
        if (!reply.ok()) {
            return describe(reply);
        }
        messages.add(message("assistant", Streams.content(reply.text())));
        return "";
    }

    private Reply call(String program, long number, String path, String body, boolean tool, boolean repeatable) {
        String key = program + "-" + number;
        Map<String, String> headers = Map.of(
                "Celery-Program", program,
                "Celery-Call", Long.toString(number),
                "Idempotency-Key", key,
                "Celery-Deadline-Ms", TIMEOUT_MS,
                "Celery-Repeatable", Boolean.toString(repeatable));
        Reply reply = caller.send(HttpMethod.POST, path, headers, Buffer.buffer(body));
        calls.add(new ProgramResult.Call(program, number, key, tool, repeatable, body, reply));
        return reply;
    }

    private static JsonObject message(String role, String content) {
        return new JsonObject().put("role", role).put("content", content);
    }

    private static String describe(Reply reply) {
        return reply.status() + " " + reply.error("code") + " " + reply.error("run_state") + " "
                + reply.error("message");
    }
}
