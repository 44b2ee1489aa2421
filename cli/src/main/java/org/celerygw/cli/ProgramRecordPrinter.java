package org.celerygw.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** Prints the record of a program as text: the fields of the program, then a table of its calls. */
final class ProgramRecordPrinter {
    private static final String CALLS_FIELD = "calls";

    private ProgramRecordPrinter() {}

    static void print(JsonObject record, Output output) {
        record.fieldNames().stream()
                .filter(name -> !name.equals(CALLS_FIELD))
                .forEach(name -> output.printLine(formatLabel(name) + formatValue(name, record.getValue(name))));
        List<List<String>> rows = record.getJsonArray(CALLS_FIELD, new JsonArray()).stream()
                .filter(JsonObject.class::isInstance)
                .map(call -> callRow((JsonObject) call))
                .toList();
        if (!rows.isEmpty()) {
            output.printLine("");
            output.printTable(
                    List.of("CALL", "KIND", "TARGET", "KEY", "REPEAT", "RESULT", "BACKEND", "TOKENS", "NOTE"), rows);
        }
    }

    private static List<String> callRow(JsonObject call) {
        return Output.row(
                call.getValue("number"),
                call.getValue("kind"),
                call.getString("target", "") + call.getString("path", ""),
                call.getValue("key"),
                call.getBoolean("repeatable", true) ? "yes" : "no",
                callResult(call),
                Output.orDash(call.getString("backend", "")),
                call.getValue("spentTokens"),
                Output.orDash(call.getString("message", "")));
    }

    private static String callResult(JsonObject call) {
        if (!call.getBoolean("ended", false)) {
            return "OPEN";
        }
        String code = call.getString("code", "");
        return code.isEmpty() ? "ANSWERED" : code + " (" + call.getString("runState", "") + ")";
    }

    private static String formatLabel(String name) {
        return (name + ":" + " ".repeat(18)).substring(0, Math.max(18, name.length() + 2));
    }

    private static String formatValue(String name, Object value) {
        return name.endsWith("AtMs") || name.equals("deadlineMs")
                ? Output.formatTime(((Number) value).longValue())
                : Output.orDash(String.valueOf(value));
    }
}
