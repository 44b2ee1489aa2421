package org.celerygw.daemon.entry;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Prompt;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Service;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.ProgramId;

/** Parses and validates a caller's HTTP request into a {@link CallRequest}. */
final class CallParser {
    static final String PROGRAM_HEADER = "Celery-Program";
    static final String CALL_HEADER = "Celery-Call";
    static final String KEY_HEADER = "Idempotency-Key";
    static final String DEADLINE_HEADER = "Celery-Deadline-Ms";
    static final String REPEATABLE_HEADER = "Celery-Repeatable";

    private static final long DEFAULT_TIMEOUT_MS = 600_000;
    private static final long MAX_TIMEOUT_MS = 86_400_000;
    private static final int DEFAULT_OUTPUT_TOKENS = 1_024;

    private final CustomerId customer;
    private final Configuration configuration;
    private final MultiMap headers;
    private final long nowMs;

    CallParser(CustomerId customer, Configuration configuration, MultiMap headers, long nowMs) {
        this.customer = customer;
        this.configuration = configuration;
        this.headers = headers;
        this.nowMs = nowMs;
    }

    /** Parses the body of a chat-completions request; {@code max_tokens} is set in the body that is sent on. */
    CallRequest parseModelCall(Buffer body) {
        JsonObject json = parseObject(body);
        String model = requiredText(json, "model");
        Prompt prompt = prompt(json);
        int outputTokens = outputTokens(json);
        return new CallRequest(
                customer,
                callId(),
                key(),
                CallKind.MODEL,
                model,
                repeatable(true),
                deadlineMs(),
                digest("model", model, "", body),
                "",
                ByteString.copyFrom(
                        json.put("max_tokens", outputTokens).toBuffer().getBytes()),
                prompt.estimatedTokens(),
                outputTokens,
                prompt.blockHashes());
    }

    /** Parses a tool call to a path of a configured service. */
    CallRequest parseToolCall(String serviceName, String path, Buffer body) {
        Service service = findService(serviceName);
        return new CallRequest(
                customer,
                callId(),
                key(),
                CallKind.TOOL,
                service.getName(),
                repeatable(service.getRepeatable()),
                deadlineMs(),
                digest("tool", service.getName(), path, body),
                path,
                ByteString.copyFrom(body.getBytes()),
                0,
                0,
                List.of());
    }

    private Service findService(String name) {
        return configuration.getServicesList().stream()
                .filter(s -> s.getName().equals(name))
                .findFirst()
                .orElseThrow(() -> new GatewayException(ErrorCode.NOT_FOUND, "No service of this name is configured."));
    }

    private CallId callId() {
        return new CallId(
                new ProgramId(requiredHeader(PROGRAM_HEADER)), parseNumber(requiredHeader(CALL_HEADER), CALL_HEADER));
    }

    private IdempotencyKey key() {
        return new IdempotencyKey(requiredHeader(KEY_HEADER));
    }

    private long deadlineMs() {
        long timeoutMs = optionalHeader(DEADLINE_HEADER)
                .map(text -> parseNumber(text, DEADLINE_HEADER))
                .orElse(DEFAULT_TIMEOUT_MS);
        Check.that(timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS, DEADLINE_HEADER + " must be from 1 to 86400000 ms");
        return nowMs + timeoutMs;
    }

    private boolean repeatable(boolean defaultValue) {
        Optional<String> value = optionalHeader(REPEATABLE_HEADER);
        value.ifPresent(
                v -> Check.that(v.equals("true") || v.equals("false"), REPEATABLE_HEADER + " must be true or false"));
        return value.map(Boolean::parseBoolean).orElse(defaultValue);
    }

    private int outputTokens(JsonObject json) {
        int configuredMax = configuration.getLimits().getMaxOutputTokens();
        int maxTokens = configuredMax > 0 ? configuredMax : Integer.MAX_VALUE;
        Object requested = json.getValue("max_tokens");
        if (requested == null) {
            return Math.min(DEFAULT_OUTPUT_TOKENS, maxTokens);
        }
        Check.that(requested instanceof Integer n && n > 0, "max_tokens must be a positive integer");
        int tokens = (Integer) requested;
        Check.that(tokens <= maxTokens, "max_tokens must be at most " + maxTokens);
        return tokens;
    }

    private static Prompt prompt(JsonObject json) {
        Object messages = json.getValue("messages");
        Check.that(messages instanceof JsonArray a && !a.isEmpty(), "messages must be a non-empty array");
        StringBuilder text = new StringBuilder();
        ((JsonArray) messages).forEach(message -> appendMessage(text, message));
        return new Prompt(text.toString());
    }

    private static void appendMessage(StringBuilder text, Object message) {
        Check.that(message instanceof JsonObject, "each message must be a JSON object");
        JsonObject json = (JsonObject) message;
        Object content = json.getValue("content");
        // Messages with tool calls have structured content; the prompt contains its JSON text.
        String contentText = content instanceof String s ? s : String.valueOf(content);
        text.append(requiredText(json, "role")).append('\n').append(contentText).append('\n');
    }

    private static JsonObject parseObject(Buffer body) {
        try {
            return body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "The request body must be a JSON object.");
        }
    }

    private static String requiredText(JsonObject json, String field) {
        Object value = json.getValue(field);
        Check.that(value instanceof String s && !s.isEmpty(), field + " must be a non-empty string");
        return (String) value;
    }

    private String requiredHeader(String name) {
        return optionalHeader(name)
                .orElseThrow(() -> new GatewayException(
                        ErrorCode.INVALID_ARGUMENT, "The required header " + name + " is missing."));
    }

    private Optional<String> optionalHeader(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    private static long parseNumber(String text, String name) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, name + " must be an integer.");
        }
    }

    private static ByteString digest(String kind, String target, String path, Buffer body) {
        Hasher hasher = Hashing.sha256().newHasher();
        // Each part is prefixed with its length, so that different requests never have the same hash input.
        List.of(kind, target, path)
                .forEach(part -> hasher.putInt(part.length()).putString(part, StandardCharsets.UTF_8));
        return ByteString.copyFrom(hasher.putBytes(body.getBytes()).hash().asBytes());
    }
}
