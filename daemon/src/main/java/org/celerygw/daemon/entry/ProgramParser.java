package org.celerygw.daemon.entry;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.celerygw.api.gen.owner.Create;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CustomerId;

/** Parses and validates a caller's JSON request to create a program. */
final class ProgramParser {
    private final JsonObject json;
    private final long nowMs;

    ProgramParser(Buffer body, long nowMs) {
        this.json = parseObject(body);
        this.nowMs = nowMs;
    }

    /** Returns the request of this customer; fields that are missing in the JSON are 0 or empty. */
    Create parseCreateRequest(CustomerId customer) {
        long deadlineMs = optionalNumber("deadline_ms");
        return Create.newBuilder()
                .setProgram(optionalText("program"))
                .setCustomer(customer.value())
                .setParent(optionalText("parent"))
                .setPriorityClass(optionalText("priority_class"))
                .setBudgetTokens(optionalNumber("budget_tokens"))
                .setDeadlineMs(deadlineMs == 0 ? 0 : nowMs + deadlineMs)
                .setTimeToLiveMs(optionalNumber("time_to_live_ms"))
                .setMaxTurns((int) Math.min(optionalNumber("max_turns"), Integer.MAX_VALUE))
                .build();
    }

    private String optionalText(String field) {
        Object value = json.getValue(field, "");
        Check.that(value instanceof String, field + " must be a string");
        return (String) value;
    }

    private long optionalNumber(String field) {
        Object value = json.getValue(field);
        if (value == null) {
            return 0;
        }
        boolean isInteger = value instanceof Long || value instanceof Integer;
        Check.that(isInteger && ((Number) value).longValue() > 0, field + " must be a positive integer");
        return ((Number) value).longValue();
    }

    private static JsonObject parseObject(Buffer body) {
        try {
            return body.length() == 0 ? new JsonObject() : body.toJsonObject();
        } catch (DecodeException | ClassCastException e) {
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "The request body must be a JSON object.");
        }
    }
}
