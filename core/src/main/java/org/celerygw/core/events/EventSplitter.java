package org.celerygw.core.events;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Incremental parser that splits the bytes of an event stream into blocks and buffers an incomplete one. Not
 * thread-safe.
 */
public final class EventSplitter {
    private static final int INITIAL_BYTES = 256;
    private static final int MAX_IDLE_BYTES = 4_096;

    private final BlockParser parser = new BlockParser();
    private byte[] buffer = new byte[INITIAL_BYTES];
    private int length;
    /** Where the bytes begin that were not returned yet. */
    private int start;
    /** Where the complete comment blocks end that begin at {@link #start}. */
    private int commentsEnd;
    /** Where the line begins that is not complete yet. */
    private int lineStart;

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes the received bytes, of any length
     * @return the blocks that these bytes complete, in order; comment blocks that follow each other are returned as one,
     *     so that their number does not grow with the number of bytes
     */
    public List<ServerSentEvent> add(byte[] bytes) {
        List<ServerSentEvent> blocks = new ArrayList<>();
        int from = length;
        append(bytes);
        for (int i = from; i < length; i++) {
            if (buffer[i] == '\n') {
                boolean endsBlock = addLine(i);
                lineStart = i + 1;
                if (endsBlock) {
                    endBlock(blocks);
                }
            }
        }
        takeComments(blocks);
        discardReturned();
        return blocks;
    }

    /**
     * Returns whether the bytes received so far end at the boundary of a block.
     *
     * @return false if an incomplete block is buffered
     */
    public boolean atEventBoundary() {
        return length == 0;
    }

    private void append(byte[] bytes) {
        if (length + bytes.length > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + bytes.length, 2 * buffer.length));
        }
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length += bytes.length;
    }

    /** Adds the line that ends at the given line feed to the current block; returns whether it ends the block. */
    private boolean addLine(int lineFeed) {
        boolean carriageReturn = lineFeed > lineStart && buffer[lineFeed - 1] == '\r';
        int lineEnd = carriageReturn ? lineFeed - 1 : lineFeed;
        parser.addLine(buffer, lineStart, lineEnd, carriageReturn);
        return lineEnd == lineStart;
    }

    private void endBlock(List<ServerSentEvent> blocks) {
        if (parser.kind() != ServerSentEvent.Kind.COMMENT) {
            takeComments(blocks);
            blocks.add(parser.toEvent(Arrays.copyOfRange(buffer, start, lineStart)));
            start = lineStart;
        }
        commentsEnd = lineStart;
        parser.reset();
    }

    private void takeComments(List<ServerSentEvent> blocks) {
        if (commentsEnd > start) {
            blocks.add(ServerSentEvent.comment(Arrays.copyOfRange(buffer, start, commentsEnd)));
            start = commentsEnd;
        }
    }

    private void discardReturned() {
        if (start == 0) {
            return;
        }
        length -= start;
        lineStart -= start;
        if (length <= MAX_IDLE_BYTES / 4 && buffer.length > MAX_IDLE_BYTES) {
            buffer = Arrays.copyOfRange(buffer, start, start + Math.max(INITIAL_BYTES, length));
        } else {
            System.arraycopy(buffer, start, buffer, 0, length);
        }
        start = 0;
        commentsEnd = 0;
    }
}
