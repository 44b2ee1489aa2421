package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into whole server-sent events. */
final class EventSplitter {
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean afterNewline;

    /**
     * One event.
     *
     * @param id its number; 0 when it has none
     * @param data its data; empty for a comment
     */
    record Event(int id, String data) {
        boolean isComment() {
            return data.isEmpty();
        }

        boolean isEndMark() {
            return "[DONE]".equals(data);
        }

        boolean isReadable() {
            return isComment() || isEndMark() || data.startsWith("{");
        }

        /** Returns the event as it is passed on, without its number. */
        ByteString bytes() {
            return ByteString.copyFromUtf8("data: " + data + "\n\n");
        }
    }

    /** Returns the events that these bytes complete. */
    List<Event> add(Buffer part) {
        List<Event> events = new ArrayList<>();
        byte[] bytes = part.getBytes();
        for (byte b : bytes) {
            if (b == '\r') {
                continue;
            }
            if (b == '\n' && afterNewline) {
                events.add(parse(pending.toString(StandardCharsets.UTF_8)));
                pending.reset();
                afterNewline = false;
                continue;
            }
            pending.write(b);
            afterNewline = b == '\n';
        }
        return events;
    }

    /** Returns the bytes that wait for the rest of their event. */
    int pendingBytes() {
        return pending.size();
    }

    private static Event parse(String text) {
        int id = 0;
        StringBuilder data = new StringBuilder();
        for (String line : text.split("\n", -1)) {
            if (line.startsWith("id:")) {
                id = number(line.substring(3).trim());
            } else if (line.startsWith("data:")) {
                data.append(line.substring(5).stripLeading());
            } else if (!line.isEmpty() && !line.startsWith(":") && !line.startsWith("event:")) {
                // Not an event at all: kept as data so that the reader sees that it is unreadable.
                data.append(line);
            }
        }
        return new Event(id, data.toString());
    }

    private static int number(String text) {
        boolean digits = !text.isEmpty() && text.length() < 10 && text.chars().allMatch(Character::isDigit);
        return digits ? Integer.parseInt(text) : 0;
    }
}
