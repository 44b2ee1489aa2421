package org.celerygw.daemon.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.celerygw.api.gen.owner.Create;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.PriorityClass;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;

/** Makes the request for a new program from a caller's JSON and the configuration's defaults. */
final class ProgramParser {
    private static final long DEFAULT_BUDGET_TOKENS = 1_000_000;
    private static final long DEFAULT_DEADLINE_MS = 3_600_000;
    private static final long DEFAULT_TIME_TO_LIVE_MS = 3_600_000;
    private static final int DEFAULT_MAX_TURNS = 1_000;

    private final JsonObject json;
    private final Configuration configuration;
    private final long nowMs;

    ProgramParser(Buffer body, Configuration configuration, long nowMs) {
        this.json = parse(body);
        this.configuration = configuration;
        this.nowMs = nowMs;
    }

    /** Returns the request; the program's id is empty when the caller leaves it to us. */
    Create create(CustomerId customer) {
        PriorityClass priorityClass = priorityClass();
        var limits = configuration.getLimits();
        long deadlineMs = number("deadline_ms", or(priorityClass.getDefaultDeadlineMs(), DEFAULT_DEADLINE_MS));
        int maxTurns = or(limits.getMaxTurns(), DEFAULT_MAX_TURNS);
        long timeToLiveMs = or(limits.getProgramTimeToLiveMs(), DEFAULT_TIME_TO_LIVE_MS);
        return Create.newBuilder()
                .setProgram(text("program"))
                .setCustomer(customer.value())
                .setParent(text("parent"))
                .setPriorityClass(priorityClass.getName())
                .setBudgetTokens(number("budget_tokens", or(limits.getDefaultBudgetTokens(), DEFAULT_BUDGET_TOKENS)))
                .setDeadlineMs(nowMs + deadlineMs)
                .setTimeToLiveMs(Math.min(number("time_to_live_ms", timeToLiveMs), timeToLiveMs))
                .setMaxTurns((int) Math.min(number("max_turns", maxTurns), maxTurns))
                .build();
    }

    private PriorityClass priorityClass() {
        String name = text("priority_class");
        return configuration.getClassesList().stream()
                .filter(c -> name.isEmpty() || c.getName().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new GatewayException(ErrorCode.NOT_FOUND, "There is no priority class of this name."));
    }

    private String text(String field) {
        Object value = json.getValue(field, "");
        Check.that(value instanceof String, field + " must be a text");
        return (String) value;
    }

    private long number(String field, long otherwise) {
        Object value = json.getValue(field, otherwise);
        boolean whole = value instanceof Long || value instanceof Integer;
        Check.that(whole && ((Number) value).longValue() > 0, field + " must be a whole number above 0");
        return ((Number) value).longValue();
    }

    private static long or(long configured, long otherwise) {
        return configured > 0 ? configured : otherwise;
    }

    private static int or(int configured, int otherwise) {
        return configured > 0 ? configured : otherwise;
    }

    private static JsonObject parse(Buffer body) {
        try {
            return body.length() == 0 ? new JsonObject() : body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "The body is not a JSON object.");
        }
    }
}
