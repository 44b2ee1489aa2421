package org.celerygw.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Prints a program's record for readers: its own fields, then a table of its calls. */
final class Explanation {
    private static final String CALLS = "calls";

    private Explanation() {}

    static void print(JsonObject record, Output output) {
        record.fieldNames().stream()
                .filter(name -> !name.equals(CALLS))
                .forEach(name -> output.line(label(name) + shown(name, record.getValue(name))));
        List<List<String>> rows = record.getJsonArray(CALLS, new JsonArray()).stream()
                .filter(JsonObject.class::isInstance)
                .map(call -> row((JsonObject) call))
                .toList();
        if (!rows.isEmpty()) {
            output.line("");
            output.table(
                    List.of("CALL", "KIND", "TARGET", "KEY", "REPEAT", "RESULT", "BACKEND", "TOKENS", "NOTE"), rows);
        }
    }

    private static List<String> row(JsonObject call) {
        return Output.row(
                call.getValue("number"),
                call.getValue("kind"),
                call.getString("target", "") + call.getString("path", ""),
                call.getValue("key"),
                call.getBoolean("repeatable", true) ? "yes" : "no",
                result(call),
                Output.orDash(call.getString("backend", "")),
                call.getValue("spentTokens"),
                Output.orDash(call.getString("message", "")));
    }

    private static String result(JsonObject call) {
        if (!call.getBoolean("ended", false)) {
            return "OPEN";
        }
        String code = call.getString("code", "");
        return code.isEmpty() ? "ANSWERED" : code + " (" + call.getString("runState", "") + ")";
    }

    private static String label(String name) {
        return (name + ":" + " ".repeat(18)).substring(0, Math.max(18, name.length() + 2));
    }

    private static String shown(String name, Object value) {
        return name.endsWith("AtMs") || name.equals("deadlineMs")
                ? Output.time(((Number) value).longValue())
                : Output.orDash(String.valueOf(value));
    }
}
