package org.celerygw.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.celerygw.core.call.Prompt;
import org.jspecify.annotations.Nullable;

/** One model request on an engine: what is computed, and to whom it is sent. */
final class Sequence {
    private static final String EVENT_STREAM = "text/event-stream";

    final String id;
    final String program;
    final int priority;
    final long arrival;
    final Prompt prompt;
    final List<Long> blocks;
    private final String model;
    private final boolean stream;
    private final List<String> tokens;
    private final boolean cut;
    private int cachedTokens;
    private double prefillLeft;
    private int produced;
    private int sent;
    private boolean cancelled;
    private int breakAfter = Integer.MAX_VALUE;
    private @Nullable Exchange reader;
    private long lastWriteMs;
    private long endedAtMs;

    Sequence(String id, String program, int priority, long arrival, ModelRequest request, int answerTokens) {
        this.id = id;
        this.program = program;
        this.priority = priority;
        this.arrival = arrival;
        this.prompt = request.prompt();
        this.blocks = prompt.blockHashes();
        this.model = request.model();
        this.stream = request.stream();
        List<String> whole = request.answer(answerTokens);
        this.cut = request.maxTokens() < whole.size();
        this.tokens = cut ? whole.subList(0, request.maxTokens()) : whole;
        this.prefillLeft = prompt.estimatedTokens();
    }

    /** Skips the part of the prompt that is cached. */
    void admit(int cachedBlocks) {
        cachedTokens = Math.min(cachedBlocks * Prompt.BLOCK_TOKENS, prompt.estimatedTokens());
        prefillLeft = prompt.estimatedTokens() - cachedTokens;
    }

    /** Computes prompt tokens and returns what is left of the budget. */
    double prefill(double budgetTokens) {
        double used = Math.min(prefillLeft, budgetTokens);
        prefillLeft -= used;
        return budgetTokens - used;
    }

    boolean isPrefilled() {
        return prefillLeft <= 0;
    }

    int waitingTokens() {
        return (int) prefillLeft;
    }

    boolean isStream() {
        return stream;
    }

    boolean hasEnded() {
        return endedAtMs > 0;
    }

    long endedAtMs() {
        return endedAtMs;
    }

    /** Breaks the connection after half of the answer. */
    void breakInTheMiddle() {
        breakAfter = Math.max(1, tokens.size() / 2);
    }

    boolean isBroken() {
        return produced >= breakAfter;
    }

    /** Computes one token of the answer. */
    void decode(long nowMs) {
        produced = Math.min(produced + 1, tokens.size());
        if (produced == tokens.size()) {
            endedAtMs = nowMs;
        }
        flush(nowMs);
    }

    void cancel(long nowMs) {
        cancelled = true;
        endedAtMs = nowMs;
        flush(nowMs);
    }

    /** Sends from here on to another connection, from the event after a number. */
    void attach(Exchange exchange, int afterEvent, long nowMs) {
        reader = exchange;
        sent = Math.max(0, afterEvent);
        if (stream) {
            exchange.response().setChunked(true).putHeader("content-type", EVENT_STREAM);
            exchange.response().writeHead();
        }
        flush(nowMs);
    }

    void detach() {
        if (reader != null) {
            reader.drop();
        }
        reader = null;
    }

    /** Sends a comment when the stream has been quiet for a while. */
    void heartbeat(long nowMs, long heartbeatMs) {
        if (stream && nowMs - lastWriteMs >= heartbeatMs) {
            write(": heartbeat\n\n", nowMs);
        }
    }

    /** The answer as it will be when whole. */
    String answer() {
        return String.join("", tokens);
    }

    private void flush(long nowMs) {
        if (reader == null) {
            return;
        }
        if (isBroken()) {
            detach();
            return;
        }
        if (!stream) {
            flushWhole();
            return;
        }
        StringBuilder text = new StringBuilder();
        for (; sent < produced; sent++) {
            text.append(event(sent));
        }
        if (hasEnded()) {
            text.append("data: [DONE]\n\n");
        }
        write(text.toString(), nowMs);
        if (hasEnded()) {
            end();
        }
    }

    private void flushWhole() {
        if (hasEnded() && reader != null) {
            reader.json(200, whole());
            reader = null;
        }
    }

    private void write(String text, long nowMs) {
        if (reader == null || text.isEmpty() || !reader.canWrite()) {
            return;
        }
        lastWriteMs = nowMs;
        reader.response().write(Buffer.buffer(text)).onFailure(e -> reader = null);
    }

    private void end() {
        if (reader != null && reader.canWrite()) {
            reader.response().end().onFailure(e -> reader = null);
        }
        reader = null;
    }

    private String event(int index) {
        boolean last = index == tokens.size() - 1;
        JsonObject choice = new JsonObject()
                .put("index", 0)
                .put("delta", new JsonObject().put("content", tokens.get(index)))
                .put("finish_reason", last ? finishReason() : null);
        JsonObject chunk = envelope("chat.completion.chunk", choice);
        if (last) {
            chunk.put("usage", usage());
        }
        return "id: " + (index + 1) + "\ndata: " + chunk.encode() + "\n\n";
    }

    private JsonObject whole() {
        JsonObject message =
                new JsonObject().put("role", "assistant").put("content", String.join("", tokens.subList(0, produced)));
        JsonObject choice =
                new JsonObject().put("index", 0).put("message", message).put("finish_reason", finishReason());
        return envelope("chat.completion", choice).put("usage", usage());
    }

    private JsonObject envelope(String object, JsonObject choice) {
        return new JsonObject()
                .put("id", id)
                .put("object", object)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
    }

    private String finishReason() {
        if (cancelled) {
            return "cancelled";
        }
        return cut ? "length" : "stop";
    }

    private JsonObject usage() {
        return new JsonObject()
                .put("prompt_tokens", prompt.estimatedTokens())
                .put("cached_tokens", cachedTokens)
                .put("completion_tokens", produced);
    }
}
