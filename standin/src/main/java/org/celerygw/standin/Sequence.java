package org.celerygw.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.celerygw.core.call.Prompt;
import org.jspecify.annotations.Nullable;

/** One model request on an engine: the state of its computation and the client that receives its output. */
final class Sequence {
    private static final String EVENT_STREAM = "text/event-stream";

    final String id;
    final String program;
    final int priority;
    final long arrivalNumber;
    final Prompt prompt;
    final List<Long> promptBlockHashes;
    private final String model;
    private final boolean stream;
    private final List<String> tokens;
    private final boolean truncated;
    private int cachedTokens;
    private double prefillTokensLeft;
    private int producedTokens;
    private int sentTokens;
    private boolean cancelled;
    private int breakAfterTokens = Integer.MAX_VALUE;
    private @Nullable Exchange client;
    private long lastWriteMs;
    private long endedAtMs;

    Sequence(String id, String program, int priority, long arrivalNumber, ModelRequest request, int answerTokens) {
        this.id = id;
        this.program = program;
        this.priority = priority;
        this.arrivalNumber = arrivalNumber;
        this.prompt = request.prompt();
        this.promptBlockHashes = prompt.blockHashes();
        this.model = request.model();
        this.stream = request.stream();
        List<String> allTokens = request.answerTokens(answerTokens);
        this.truncated = request.maxTokens() < allTokens.size();
        this.tokens = truncated ? allTokens.subList(0, request.maxTokens()) : allTokens;
        this.prefillTokensLeft = prompt.estimatedTokens();
    }

    /** Starts the request; the cached part of the prompt is not computed again. */
    void admit(int cachedBlocks) {
        cachedTokens = Math.min(cachedBlocks * Prompt.BLOCK_TOKENS, prompt.estimatedTokens());
        prefillTokensLeft = prompt.estimatedTokens() - cachedTokens;
    }

    /** Computes prompt tokens within the budget and returns the tokens left of it. */
    double prefill(double budgetTokens) {
        double usedTokens = Math.min(prefillTokensLeft, budgetTokens);
        prefillTokensLeft -= usedTokens;
        return budgetTokens - usedTokens;
    }

    boolean isPrefilled() {
        return prefillTokensLeft <= 0;
    }

    int prefillTokensToCompute() {
        return (int) prefillTokensLeft;
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

    /** Makes the connection close after half of the answer. */
    void breakAfterHalf() {
        breakAfterTokens = Math.max(1, tokens.size() / 2);
    }

    boolean isBroken() {
        return producedTokens >= breakAfterTokens;
    }

    /** Computes one token of the answer. */
    void decode(long nowMs) {
        producedTokens = Math.min(producedTokens + 1, tokens.size());
        if (producedTokens == tokens.size()) {
            endedAtMs = nowMs;
        }
        flush(nowMs);
    }

    void cancel(long nowMs) {
        cancelled = true;
        endedAtMs = nowMs;
        flush(nowMs);
    }

    /** Sends the output from now on to this client, starting after the given event number. */
    void attach(Exchange exchange, int afterEvent, long nowMs) {
        client = exchange;
        sentTokens = Math.max(0, afterEvent);
        if (stream) {
            exchange.response().setChunked(true).putHeader("content-type", EVENT_STREAM);
            exchange.response().writeHead();
        }
        flush(nowMs);
    }

    /** Closes the client's connection; the request continues to run. */
    void detach() {
        if (client != null) {
            client.closeConnection();
        }
        client = null;
    }

    /** Sends a comment if nothing was written to the stream for the heartbeat interval. */
    void heartbeat(long nowMs, long heartbeatMs) {
        if (stream && nowMs - lastWriteMs >= heartbeatMs) {
            write(": heartbeat\n\n", nowMs);
        }
    }

    /** Returns the complete answer, including tokens not computed yet. */
    String fullAnswer() {
        return String.join("", tokens);
    }

    private void flush(long nowMs) {
        if (client == null) {
            return;
        }
        if (isBroken()) {
            detach();
            return;
        }
        if (!stream) {
            flushComplete();
            return;
        }
        StringBuilder text = new StringBuilder();
        for (; sentTokens < producedTokens; sentTokens++) {
            text.append(chunkEvent(sentTokens));
        }
        if (hasEnded()) {
            text.append("data: [DONE]\n\n");
        }
        write(text.toString(), nowMs);
        if (hasEnded()) {
            endResponse();
        }
    }

    private void flushComplete() {
        if (hasEnded() && client != null) {
            client.replyJson(200, completeResponse());
            client = null;
        }
    }

    private void write(String text, long nowMs) {
        if (client == null || text.isEmpty() || !client.canWrite()) {
            return;
        }
        lastWriteMs = nowMs;
        client.response().write(Buffer.buffer(text)).onFailure(e -> client = null);
    }

    private void endResponse() {
        if (client != null && client.canWrite()) {
            client.response().end().onFailure(e -> client = null);
        }
        client = null;
    }

    private String chunkEvent(int index) {
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

    private JsonObject completeResponse() {
        JsonObject message = new JsonObject()
                .put("role", "assistant")
                .put("content", String.join("", tokens.subList(0, producedTokens)));
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
        return truncated ? "length" : "stop";
    }

    private JsonObject usage() {
        return new JsonObject()
                .put("prompt_tokens", prompt.estimatedTokens())
                .put("cached_tokens", cachedTokens)
                .put("completion_tokens", producedTokens);
    }
}
