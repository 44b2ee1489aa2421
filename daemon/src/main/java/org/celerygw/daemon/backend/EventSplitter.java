package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into complete server-sent events. */
final class EventSplitter {
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean afterNewline;

    /**
     * A server-sent event.
     *
     * @param id the numeric event id; 0 if it has none
     * @param data the data field; empty for a comment
     */
    record ServerSentEvent(int id, String data) {
        boolean isComment() {
            return data.isEmpty();
        }

        boolean isDone() {
            return "[DONE]".equals(data);
        }

        boolean isReadable() {
            return isComment() || isDone() || data.startsWith("{");
        }

        /** Returns the event as it is forwarded, without its id. */
        ByteString bytes() {
            return ByteString.copyFromUtf8("data: " + data + "\n\n");
        }
    }

    /** Adds bytes of the stream and returns the events that they complete. */
    List<ServerSentEvent> feed(Buffer part) {
        List<ServerSentEvent> events = new ArrayList<>();
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

    /** Returns the number of buffered bytes of the incomplete event. */
    int pendingBytes() {
        return pending.size();
    }

    private static ServerSentEvent parse(String text) {
        int id = 0;
        StringBuilder data = new StringBuilder();
        for (String line : text.split("\n", -1)) {
            if (line.startsWith("id:")) {
                id = parseId(line.substring(3).trim());
            } else if (line.startsWith("data:")) {
                data.append(line.substring(5).stripLeading());
            } else if (!line.isEmpty() && !line.startsWith(":") && !line.startsWith("event:")) {
                // A line that is not part of an event becomes data, so that isReadable() rejects the event.
                data.append(line);
            }
        }
        return new ServerSentEvent(id, data.toString());
    }

    private static int parseId(String text) {
        boolean isNumber = !text.isEmpty() && text.length() < 10 && text.chars().allMatch(Character::isDigit);
        return isNumber ? Integer.parseInt(text) : 0;
    }
}
