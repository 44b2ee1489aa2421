package org.celerygw.core.events;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental parser that splits the bytes of an event stream into events and buffers an incomplete one. Not
 * thread-safe.
 */
public final class EventSplitter {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.US_ASCII);

    /** Any number with this many digits fits into a long. */
    private static final int MAX_ID_DIGITS = 18;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;
    private boolean afterCarriageReturn;

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes the received bytes, of any length
     * @return the events that these bytes complete, in order
     */
    public List<ServerSentEvent> add(byte[] bytes) {
        List<ServerSentEvent> events = new ArrayList<>();
        for (byte b : bytes) {
            pending.write(b);
            if (b == '\r') {
                afterCarriageReturn = true;
                continue;
            }
            if (b != '\n') {
                lineLength += afterCarriageReturn ? 2 : 1;
                afterCarriageReturn = false;
                continue;
            }
            afterCarriageReturn = false;
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
     * Returns whether the bytes received so far end at the boundary of an event.
     *
     * @return false if an incomplete event is buffered
     */
    public boolean atEventBoundary() {
        return pending.size() == 0;
    }

    private static ServerSentEvent parse(byte[] bytes) {
        long id = -1;
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        boolean first = true;
        for (int start = 0; start < bytes.length; ) {
            int end = start;
            while (end < bytes.length && bytes[end] != '\n') {
                end++;
            }
            byte[] line = withoutCarriageReturn(bytes, start, end);
            if (startsWith(line, ID)) {
                id = parseId(fieldValue(line, ID.length));
            } else if (startsWith(line, DATA)) {
                if (!first) {
                    data.write('\n');
                }
                first = false;
                data.writeBytes(fieldValue(line, DATA.length));
            }
            start = end + 1;
        }
        return new ServerSentEvent(bytes, id, data.toByteArray());
    }

    private static byte[] withoutCarriageReturn(byte[] bytes, int start, int end) {
        int stop = end > start && bytes[end - 1] == '\r' ? end - 1 : end;
        return Arrays.copyOfRange(bytes, start, stop);
    }

    private static boolean startsWith(byte[] line, byte[] name) {
        return line.length >= name.length && Arrays.equals(line, 0, name.length, name, 0, name.length);
    }

    private static byte[] fieldValue(byte[] line, int nameLength) {
        int from = line.length > nameLength && line[nameLength] == ' ' ? nameLength + 1 : nameLength;
        return Arrays.copyOfRange(line, from, line.length);
    }

    private static long parseId(byte[] digits) {
        if (digits.length == 0 || digits.length > MAX_ID_DIGITS) {
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
