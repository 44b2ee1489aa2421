package org.celerygw.cli.load;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.stream.Collectors;

/** Reads streamed chat completions. */
final class Streams {
    private static final String DATA = "data: ";

    private Streams() {}

    /** Returns the text that the stream's events add up to. */
    static String content(String events) {
        return events.lines()
                .filter(l -> l.startsWith(DATA + "{"))
                .map(l -> delta(new JsonObject(l.substring(DATA.length()))))
                .collect(Collectors.joining());
    }

    private static String delta(JsonObject event) {
        JsonArray choices = event.getJsonArray("choices", new JsonArray());
        return choices.isEmpty()
                ? ""
                : choices.getJsonObject(0)
                        .getJsonObject("delta", new JsonObject())
                        .getString("content", "");
    }
}
