package org.celerygw.daemon.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.celerygw.api.gen.owner.Create;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;

/** Reads a caller's JSON request for a new program. */
final class ProgramParser {
    private final JsonObject json;
    private final long nowMs;

    ProgramParser(Buffer body, long nowMs) {
        this.json = parse(body);
        this.nowMs = nowMs;
    }

    /** Returns what the caller asks for; what it left out is 0 or empty. */
    Create create(CustomerId customer) {
        long deadlineMs = number("deadline_ms");
        return Create.newBuilder()
                .setProgram(text("program"))
                .setCustomer(customer.value())
                .setParent(text("parent"))
                .setPriorityClass(text("priority_class"))
                .setBudgetTokens(number("budget_tokens"))
                .setDeadlineMs(deadlineMs == 0 ? 0 : nowMs + deadlineMs)
                .setTimeToLiveMs(number("time_to_live_ms"))
                .setMaxTurns((int) Math.min(number("max_turns"), Integer.MAX_VALUE))
                .build();
    }

    private String text(String field) {
        Object value = json.getValue(field, "");
        Check.that(value instanceof String, field + " must be a text");
        return (String) value;
    }

    private long number(String field) {
        Object value = json.getValue(field);
        if (value == null) {
            return 0;
        }
        boolean whole = value instanceof Long || value instanceof Integer;
        Check.that(whole && ((Number) value).longValue() > 0, field + " must be a whole number above 0");
        return ((Number) value).longValue();
    }

    private static JsonObject parse(Buffer body) {
        try {
            return body.length() == 0 ? new JsonObject() : body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "The body is not a JSON object.");
        }
    }
}
