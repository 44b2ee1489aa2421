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

/** Makes a {@link CallRequest} from what a caller sent, or refuses it. */
final class CallParser {
    static final String PROGRAM = "Celery-Program";
    static final String CALL = "Celery-Call";
    static final String KEY = "Idempotency-Key";
    static final String DEADLINE_MS = "Celery-Deadline-Ms";
    static final String REPEATABLE = "Celery-Repeatable";

    private static final long DEFAULT_TIMEOUT_MS = 600_000;
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

    /** Returns the model call that a chat-completions body asks for. */
    CallRequest model(Buffer body) {
        JsonObject json = object(body);
        String model = text(json, "model");
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

    /** Returns the tool call for this service and path. */
    CallRequest tool(String serviceName, String path, Buffer body) {
        Service service = service(serviceName);
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

    private Service service(String name) {
        return configuration.getServicesList().stream()
                .filter(s -> s.getName().equals(name))
                .findFirst()
                .orElseThrow(() -> new GatewayException(ErrorCode.NOT_FOUND, "There is no service of this name."));
    }

    private CallId callId() {
        return new CallId(new ProgramId(header(PROGRAM)), number(header(CALL), CALL));
    }

    private IdempotencyKey key() {
        return new IdempotencyKey(header(KEY));
    }

    private long deadlineMs() {
        long timeoutMs = optional(DEADLINE_MS).map(t -> number(t, DEADLINE_MS)).orElse(DEFAULT_TIMEOUT_MS);
        Check.that(timeoutMs > 0 && timeoutMs <= 86_400_000, DEADLINE_MS + " must be from 1 to 86400000");
        return nowMs + timeoutMs;
    }

    private boolean repeatable(boolean otherwise) {
        Optional<String> given = optional(REPEATABLE);
        given.ifPresent(g -> Check.that(g.equals("true") || g.equals("false"), REPEATABLE + " must be true or false"));
        return given.map(Boolean::parseBoolean).orElse(otherwise);
    }

    private int outputTokens(JsonObject json) {
        int most = configuration.getLimits().getMaxOutputTokens();
        int ceiling = most > 0 ? most : Integer.MAX_VALUE;
        Object asked = json.getValue("max_tokens");
        if (asked == null) {
            return Math.min(DEFAULT_OUTPUT_TOKENS, ceiling);
        }
        Check.that(asked instanceof Integer n && n > 0, "max_tokens must be a whole number above 0");
        int tokens = (Integer) asked;
        Check.that(tokens <= ceiling, "max_tokens must be at most " + ceiling);
        return tokens;
    }

    private static Prompt prompt(JsonObject json) {
        Object messages = json.getValue("messages");
        Check.that(
                messages instanceof JsonArray a && !a.isEmpty(), "messages must be a list with at least one message");
        StringBuilder text = new StringBuilder();
        ((JsonArray) messages).forEach(m -> append(text, m));
        return new Prompt(text.toString());
    }

    private static void append(StringBuilder text, Object message) {
        Check.that(message instanceof JsonObject, "each message must be an object");
        JsonObject m = (JsonObject) message;
        Object content = m.getValue("content");
        // Tool-call messages carry structured content: its JSON text stands for it.
        String whole = content instanceof String s ? s : String.valueOf(content);
        text.append(text(m, "role")).append('\n').append(whole).append('\n');
    }

    private static JsonObject object(Buffer body) {
        try {
            return body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "The body is not a JSON object.");
        }
    }

    private static String text(JsonObject json, String field) {
        Object value = json.getValue(field);
        Check.that(value instanceof String s && !s.isEmpty(), field + " must be a text that is not empty");
        return (String) value;
    }

    private String header(String name) {
        return optional(name)
                .orElseThrow(
                        () -> new GatewayException(ErrorCode.INVALID_ARGUMENT, "The header " + name + " is missing."));
    }

    private Optional<String> optional(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    private static long number(String text, String name) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, name + " must be a whole number.");
        }
    }

    private static ByteString digest(String kind, String target, String path, Buffer body) {
        Hasher hasher = Hashing.sha256().newHasher();
        // Each part is preceded by its length, so that no two requests share their input.
        List.of(kind, target, path)
                .forEach(part -> hasher.putInt(part.length()).putString(part, StandardCharsets.UTF_8));
        return ByteString.copyFrom(hasher.putBytes(body.getBytes()).hash().asBytes());
    }
}
