package org.celerygw.core.events;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Cuts the bytes of an event stream into whole events; keeps what is not yet whole. Not thread-safe. */
public final class EventSplitter {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;
    private boolean afterReturn;

    /**
     * Takes the next bytes.
     *
     * @param bytes what came
     * @return the events that these bytes make whole, in order
     */
    public List<Event> add(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte b : bytes) {
            pending.write(b);
            if (b == '\r') {
                afterReturn = true;
                continue;
            }
            if (b != '\n') {
                lineLength += afterReturn ? 2 : 1;
                afterReturn = false;
                continue;
            }
            afterReturn = false;
            boolean empty = lineLength == 0;
            lineLength = 0;
            if (empty) {
                events.add(parse(pending.toByteArray()));
                pending.reset();
            }
        }
        return events;
    }

    /**
     * Returns whether the stream stands between two events.
     *
     * @return false when part of an event has come
     */
    public boolean atBoundary() {
        return pending.size() == 0;
    }

    private static Event parse(byte[] bytes) {
        long id = -1;
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        boolean first = true;
        for (int start = 0; start < bytes.length; ) {
            int end = start;
            while (end < bytes.length && bytes[end] != '\n') {
                end++;
            }
            byte[] line = line(bytes, start, end);
            if (begins(line, ID)) {
                id = number(value(line, ID.length));
            } else if (begins(line, DATA)) {
                if (!first) {
                    data.write('\n');
                }
                first = false;
                data.writeBytes(value(line, DATA.length));
            }
            start = end + 1;
        }
        return new Event(bytes, id, data.toByteArray());
    }

    private static byte[] line(byte[] bytes, int start, int end) {
        int stop = end > start && bytes[end - 1] == '\r' ? end - 1 : end;
        return Arrays.copyOfRange(bytes, start, stop);
    }

    private static boolean begins(byte[] line, byte[] name) {
        return line.length >= name.length && Arrays.equals(line, 0, name.length, name, 0, name.length);
    }

    private static byte[] value(byte[] line, int nameLength) {
        int from = line.length > nameLength && line[nameLength] == ' ' ? nameLength + 1 : nameLength;
        return Arrays.copyOfRange(line, from, line.length);
    }

    private static long number(byte[] digits) {
        if (digits.length == 0 || digits.length > 18) {
            return -1;
        }
        long number = 0;
        for (byte d : digits) {
            if (d < '0' || d > '9') {
                return -1;
            }
            number = number * 10 + (d - '0');
        }
        return number;
    }
}
