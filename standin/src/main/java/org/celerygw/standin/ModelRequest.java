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
 * A chat-completions request as the engine's stand-in reads it.
 *
 * @param model the model asked for
 * @param prompt the text of the messages
 * @param stream whether the answer is streamed
 * @param maxTokens the most tokens of the answer
 * @param priority lower goes first
 */
record ModelRequest(String model, Prompt prompt, boolean stream, int maxTokens, int priority) {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int WORDS = 10_000;

    /** Returns the request in a body, or null when there is none to read. */
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

    /** Returns the tokens that the model answers: the same for the same prompt, of about the length given. */
    List<String> answer(int aboutTokens) {
        long seed = Hashing.murmur3_128(1)
                .hashString(model + '\n' + prompt.text(), StandardCharsets.UTF_8)
                .asLong();
        SplittableRandom random = new SplittableRandom(seed);
        int length = Math.max(1, aboutTokens / 2 + random.nextInt(Math.max(1, aboutTokens)));
        return IntStream.range(0, length)
                .mapToObj(i -> "w" + random.nextInt(WORDS) + " ")
                .toList();
    }
}
