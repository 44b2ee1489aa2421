package org.celerygw.core.events;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;

/**
 * Parses one block of an event stream line by line. The lines of an event are comments, the fields {@code id}, {@code
 * data}, {@code event} and {@code retry}, and at most one other field, on the first line and with a number as its value;
 * all lines end alike.
 */
final class BlockParser {
    private static final String ID = "id";
    private static final String DATA = "data";
    private static final Set<String> OTHER_FIELDS = Set.of("event", "retry");

    /** Any number with this many digits fits into a long. */
    private static final int MAX_NUMBER_DIGITS = 18;

    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private long id = -1;
    private int lines;
    private int fields;
    private int dataLines;
    private boolean carriageReturns;
    private boolean malformed;

    /** Adds the line from one index to another, without its end; the last line of a block is empty. */
    void addLine(byte[] bytes, int from, int to, boolean carriageReturn) {
        malformed |= lines > 0 && carriageReturn != carriageReturns;
        carriageReturns = carriageReturn;
        lines++;
        boolean comment = from == to || bytes[from] == ':';
        if (!comment) {
            addField(bytes, from, to);
        }
    }

    private void addField(byte[] bytes, int from, int to) {
        fields++;
        int colon = from;
        while (colon < to && bytes[colon] != ':') {
            colon++;
        }
        if (colon == to) {
            malformed = true;
            return;
        }
        String name = new String(bytes, from, colon - from, StandardCharsets.ISO_8859_1);
        int valueFrom = colon + 1 < to && bytes[colon + 1] == ' ' ? colon + 2 : colon + 1;
        byte[] value = Arrays.copyOfRange(bytes, valueFrom, to);
        if (name.equals(ID)) {
            malformed |= id >= 0;
            id = parseNumber(value);
            malformed |= id < 0;
        } else if (name.equals(DATA)) {
            addData(value);
        } else if (!OTHER_FIELDS.contains(name)) {
            malformed |= fields > 1 || parseNumber(value) < 0;
        }
    }

    private void addData(byte[] value) {
        if (dataLines++ > 0) {
            data.write('\n');
        }
        data.writeBytes(value);
    }

    /** Returns what the lines added so far are, provided that they are a whole block. */
    ServerSentEvent.Kind kind() {
        if (malformed || (fields > 0 && id < 0)) {
            return ServerSentEvent.Kind.MALFORMED;
        }
        return fields == 0 ? ServerSentEvent.Kind.COMMENT : ServerSentEvent.Kind.EVENT;
    }

    ServerSentEvent toEvent(byte[] bytes) {
        ServerSentEvent.Kind kind = kind();
        return new ServerSentEvent(bytes, kind, kind == ServerSentEvent.Kind.EVENT ? id : -1, data.toByteArray());
    }

    /** Begins the next block. */
    void reset() {
        data.reset();
        id = -1;
        lines = 0;
        fields = 0;
        dataLines = 0;
        carriageReturns = false;
        malformed = false;
    }

    /** Returns the number, or -1 if the text is not one. */
    private static long parseNumber(byte[] digits) {
        if (digits.length == 0 || digits.length > MAX_NUMBER_DIGITS) {
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
