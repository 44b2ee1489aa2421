package org.celerygw.core.events;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental parser that splits the bytes of an event stream into blocks and buffers an incomplete one. Not
 * thread-safe.
 */
public final class EventSplitter {
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineLength;
    private boolean afterCarriageReturn;

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes the received bytes, of any length
     * @return the blocks that these bytes complete, in order
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
     * Returns whether the bytes received so far end at the boundary of a block.
     *
     * @return false if an incomplete block is buffered
     */
    public boolean atEventBoundary() {
        return pending.size() == 0;
    }

    private static ServerSentEvent parse(byte[] bytes) {
        BlockParser parser = new BlockParser();
        for (int start = 0; start < bytes.length; ) {
            int end = start;
            while (bytes[end] != '\n') {
                end++;
            }
            boolean carriageReturn = end > start && bytes[end - 1] == '\r';
            parser.addLine(Arrays.copyOfRange(bytes, start, carriageReturn ? end - 1 : end), carriageReturn);
            start = end + 1;
        }
        return parser.toEvent(bytes);
    }
}
