package org.celerygw.cli.load;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.stream.Collectors;

/** Parses chat completions that are streamed as server-sent events. */
final class EventStreams {
    private static final String DATA_PREFIX = "data: ";

    private EventStreams() {}

    /** Returns the completion text, joined from the content deltas of all events. */
    static String completionText(String events) {
        return events.lines()
                .filter(l -> l.startsWith(DATA_PREFIX + "{"))
                .map(l -> deltaContent(new JsonObject(l.substring(DATA_PREFIX.length()))))
                .collect(Collectors.joining());
    }

    private static String deltaContent(JsonObject event) {
        JsonArray choices = event.getJsonArray("choices", new JsonArray());
        return choices.isEmpty()
                ? ""
                : choices.getJsonObject(0)
                        .getJsonObject("delta", new JsonObject())
                        .getString("content", "");
    }
}
