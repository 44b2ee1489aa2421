package org.celerygw.cli.load;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs the steps of one script sequentially through a deployment. */
public final class ProgramRun {
    private static final String DEADLINE_MS = "60000";

    private final Caller caller;
    private final Script script;
    private final List<ProgramResult.Call> calls = new ArrayList<>();

    /**
     * Creates a run of one script.
     *
     * @param caller the client that sends the requests
     * @param script the steps to run
     */
    public ProgramRun(Caller caller, Script script) {
        this.caller = caller;
        this.script = script;
    }

    /**
     * Runs the script until it ends or a step fails.
     *
     * @return the result with all calls sent
     */
    public ProgramResult run() {
        long startNs = System.nanoTime();
        String failure = runProgram(script.program(), "", script.steps());
        long latencyMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        return new ProgramResult(script, failure.isEmpty(), failure, latencyMs, calls);
    }

    private String runProgram(String program, String parent, List<Step> steps) {
        Reply created = createProgram(program, parent);
        // CONFLICT is expected when the response to an earlier attempt was lost: the program already exists.
        if (!created.isSuccess() && !created.errorField("code").equals("CONFLICT")) {
            return "create: " + describe(created);
        }
        JsonArray messages = new JsonArray().add(message("system", script.systemPrompt()));
        long number = 0;
        for (Step step : steps) {
            number += step instanceof Step.ModelCall || step instanceof Step.ToolCall ? 1 : 0;
            String failure = runStep(program, number, step, messages);
            if (!failure.isEmpty()) {
                return program + " #" + number + ": " + failure;
            }
        }
        Reply ended = caller.send(HttpMethod.POST, "/v1/programs/" + program + "/end", Map.of(), Buffer.buffer());
        return ended.isSuccess() || ended.errorField("code").equals("PROGRAM_ENDED") ? "" : "end: " + describe(ended);
    }

    private Reply createProgram(String program, String parent) {
        JsonObject body = new JsonObject()
                .put("program", program)
                .put("priority_class", script.priorityClass())
                .put("budget_tokens", script.budgetTokens());
        if (!parent.isEmpty()) {
            body.put("parent", parent);
        }
        return caller.send(HttpMethod.POST, "/v1/programs", Map.of(), body.toBuffer());
    }

    private String runStep(String program, long number, Step step, JsonArray messages) {
        if (step instanceof Step.ModelCall modelCall) {
            return callModel(program, number, modelCall, messages);
        }
        if (step instanceof Step.ToolCall toolCall) {
            Reply reply = sendCall(
                    program,
                    number,
                    "/v1/tools/" + toolCall.service() + toolCall.path(),
                    toolCall.body(),
                    true,
                    toolCall.repeatable());
            return reply.isSuccess() ? "" : describe(reply);
        }
        if (step instanceof Step.SubAgent subAgent) {
            return runProgram(program + "/" + subAgent.name(), program, subAgent.steps());
        }
        Caller.pause(((Step.Pause) step).pauseMs());
        return "";
    }

    private String callModel(String program, long number, Step.ModelCall modelCall, JsonArray messages) {
        messages.add(message("user", modelCall.prompt()));
        JsonObject body = new JsonObject()
                .put("model", script.model())
                .put("stream", true)
                .put("max_tokens", modelCall.maxTokens())
                .put("messages", messages);
        Reply reply = sendCall(program, number, "/v1/chat/completions", body.encode(), false, true);
        if (!reply.isSuccess()) {
            return describe(reply);
        }
        messages.add(message("assistant", EventStreams.completionText(reply.text())));
        return "";
    }

    private Reply sendCall(
            String program, long number, String path, String body, boolean toolCall, boolean repeatable) {
        String idempotencyKey = program + "-" + number;
        Map<String, String> headers = Map.of(
                "Celery-Program", program,
                "Celery-Call", Long.toString(number),
                "Idempotency-Key", idempotencyKey,
                "Celery-Deadline-Ms", DEADLINE_MS,
                "Celery-Repeatable", Boolean.toString(repeatable));
        Reply reply = caller.send(HttpMethod.POST, path, headers, Buffer.buffer(body));
        calls.add(new ProgramResult.Call(program, number, idempotencyKey, toolCall, repeatable, body, reply));
        return reply;
    }

    private static JsonObject message(String role, String content) {
        return new JsonObject().put("role", role).put("content", content);
    }

    private static String describe(Reply reply) {
        return reply.status() + " " + reply.errorField("code") + " " + reply.errorField("run_state") + " "
                + reply.errorField("message");
    }
}
