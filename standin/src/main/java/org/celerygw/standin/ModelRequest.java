package org.celerygw.standin;

import com.google.common.hash.Hashing;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.celerygw.core.call.Prompt;
import org.jspecify.annotations.Nullable;

/**
 * A chat-completions request as the stand-in engine parses it.
 *
 * @param model the requested model
 * @param prompt the messages as one prompt
 * @param stream whether the answer is streamed
 * @param maxTokens maximum number of tokens in the answer
 * @param priority requests with a lower value run first
 */
record ModelRequest(String model, Prompt prompt, boolean stream, int maxTokens, int priority) {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int VOCABULARY_SIZE = 10_000;

    /** Parses a request body; returns null if it has no messages or a field of the wrong type. */
    static @Nullable ModelRequest parse(JsonObject body) {
        try {
            JsonArray messages = body.getJsonArray("messages");
            if (messages == null || messages.isEmpty()) {
                return null;
            }
            Prompt prompt = new Prompt("");
            for (int i = 0; i < messages.size(); i++) {
                JsonObject message = messages.getJsonObject(i);
                prompt = prompt.withMessage(message.getString("role", ""), message.getString("content", ""));
            }
            return new ModelRequest(
                    body.getString("model", ""),
                    prompt,
                    body.getBoolean("stream", false),
                    Math.max(1, body.getInteger("max_tokens", DEFAULT_MAX_TOKENS)),
                    body.getInteger("priority", 0));
        } catch (ClassCastException e) {
            return null;
        }
    }

    /** Returns the answer's tokens: about the given number, the same for the same model and prompt. */
    List<String> answerTokens(int typicalTokens) {
        long seed = Hashing.murmur3_128(1)
                .hashString(model + '\n' + prompt.text(), StandardCharsets.UTF_8)
                .asLong();
        SplittableRandom random = new SplittableRandom(seed);
        int length = Math.max(1, typicalTokens / 2 + random.nextInt(Math.max(1, typicalTokens)));
        return IntStream.range(0, length)
                .mapToObj(i -> "w" + random.nextInt(VOCABULARY_SIZE) + " ")
                .toList();
    }
}
