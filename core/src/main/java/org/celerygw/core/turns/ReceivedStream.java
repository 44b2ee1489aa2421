package org.celerygw.core.turns;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.celerygw.core.gen.turns.AttemptLog;
import org.celerygw.core.gen.turns.LoggedEvent;

/**
 * What a client has received of a stream over all its attempts, up to the event after which it resumes.
 *
 * @param status whether that is known
 * @param output the data of the events received, each followed by a line feed; empty unless known
 * @param attempts how many attempts have a log; the ordinal of the next one
 */
public record ReceivedStream(Status status, byte[] output, int attempts) {
    /** Result of looking up a stream. */
    public enum Status {
        /** Every event that the client has received is known. */
        KNOWN,
        /** The store responded and does not hold all of them. */
        UNKNOWN,
        /** The store did not respond in time. */
        UNAVAILABLE
    }

    static final ReceivedStream UNKNOWN = new ReceivedStream(Status.UNKNOWN, new byte[0], 0);
    static final ReceivedStream UNAVAILABLE = new ReceivedStream(Status.UNAVAILABLE, new byte[0], 0);

    /** The start of a stream, of which the client has received nothing. */
    public static final ReceivedStream NOTHING = new ReceivedStream(Status.KNOWN, new byte[0], 0);

    /**
     * Joins the logs of a stream's attempts, in their order. Each is a prefix of what its attempt was given, which may be
     * more than the client has received: the next attempt tells where it went on. A log that ends before the last event
     * received does not tell all of them.
     */
    static ReceivedStream of(List<AttemptLog> attempts, long lastEventId) {
        if (attempts.isEmpty()) {
            return UNKNOWN;
        }
        Deque<LoggedEvent> events = new ArrayDeque<>();
        attempts.forEach(attempt -> {
            dropAfter(events, attempt.getResumedAfter());
            for (LoggedEvent event : attempt.getEventsList()) {
                // An attempt that begins its stream anew, because the client has received nothing, starts over.
                dropAfter(events, event.getId() - 1);
                events.addLast(event);
            }
        });
        dropAfter(events, lastEventId);
        if (!events.isEmpty() && events.getLast().getId() != lastEventId) {
            return UNKNOWN;
        }
        return new ReceivedStream(Status.KNOWN, output(events), attempts.size());
    }

    private static void dropAfter(Deque<LoggedEvent> events, long id) {
        while (!events.isEmpty() && events.getLast().getId() > id) {
            events.removeLast();
        }
    }

    private static byte[] output(Deque<LoggedEvent> events) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        events.forEach(e -> {
            output.writeBytes(e.getData().toByteArray());
            output.write('\n');
        });
        return output.toByteArray();
    }
}
