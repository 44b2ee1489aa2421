package org.celerygw.core.events;

/**
 * A block of an event stream: the lines up to an empty one. Comment blocks that follow each other may be one.
 *
 * @param bytes the block as received, including the empty line that ends it
 * @param kind whether the block is an event
 * @param id the event's id; -1 if the block is not an event
 * @param data its data lines, separated by line feeds
 */
public record ServerSentEvent(byte[] bytes, Kind kind, long id, byte[] data) {
    static ServerSentEvent comment(byte[] bytes) {
        return new ServerSentEvent(bytes, Kind.COMMENT, -1, new byte[0]);
    }

    /** What a block is. */
    public enum Kind {
        /** An event with a numeric id. */
        EVENT,
        /** Comments only, or nothing. */
        COMMENT,
        /** Bytes that are no event, such as the head of a response that a failing server wrote into its stream. */
        MALFORMED
    }
}
