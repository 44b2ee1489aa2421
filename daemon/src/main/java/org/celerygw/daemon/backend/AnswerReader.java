package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.celerygw.core.call.Outcome;
import org.jspecify.annotations.Nullable;

/** Puts a model's answer together, over as many connections as it takes. */
final class AnswerReader {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final ByteString END_MARK = ByteString.copyFromUtf8("data: [DONE]\n\n");

    private final int maxBytes;
    private EventSplitter splitter = new EventSplitter();
    private ByteString answer = ByteString.EMPTY;
    private int events;
    private long usedTokens = -1;

    AnswerReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** How far the answer is. */
    enum State {
        /** More is to come. */
        OPEN,
        /** It is whole. */
        WHOLE,
        /** An event is missing; the stream must be resumed. */
        GAP,
        /** It is not an answer, or it is too large. */
        UNREADABLE
    }

    /**
     * What a part of a stream brought.
     *
     * @param state how far the answer is
     * @param fresh the events that are new
     */
    record Progress(State state, ByteString fresh) {}

    /** Forgets half an event of the last connection. */
    void reconnect() {
        splitter = new EventSplitter();
    }

    /** Returns how many events were read. */
    int events() {
        return events;
    }

    /** Reads a part of a stream. */
    Progress read(Buffer part) {
        ByteString fresh = ByteString.EMPTY;
        State state = State.OPEN;
        for (EventSplitter.Event event : splitter.add(part)) {
            state = check(event);
            if (state != State.OPEN) {
                break;
            }
            if (isNew(event)) {
                fresh = fresh.concat(take(event));
            }
        }
        answer = answer.concat(fresh);
        if (answer.size() + splitter.pendingBytes() > maxBytes) {
            state = State.UNREADABLE;
        }
        return new Progress(state, fresh);
    }

    /** Returns the outcome of a stream that ended with its end mark. */
    Outcome streamed() {
        return Outcome.answered(200, EVENT_STREAM, answer.concat(END_MARK), outputTokens());
    }

    /** Returns the outcome of an answer that was not streamed, or null when it is not one. */
    @Nullable
    Outcome whole(Buffer body, String contentType) {
        try {
            JsonObject json = body.toJsonObject();
            if (!json.containsKey("choices")) {
                return null;
            }
            readUsage(json);
            return Outcome.answered(200, contentType, ByteString.copyFrom(body.getBytes()), outputTokens());
        } catch (DecodeException | ClassCastException e) {
            return null;
        }
    }

    private State check(EventSplitter.Event event) {
        if (!event.isReadable()) {
            return State.UNREADABLE;
        }
        if (event.isEndMark()) {
            return State.WHOLE;
        }
        return event.id() > events + 1 ? State.GAP : State.OPEN;
    }

    /** A resumed stream may begin with events that were read already. */
    private boolean isNew(EventSplitter.Event event) {
        return !event.isComment() && (event.id() == 0 || event.id() > events);
    }

    private ByteString take(EventSplitter.Event event) {
        events++;
        if (event.data().contains("\"usage\"")) {
            readUsage(event.data());
        }
        return event.bytes();
    }

    private void readUsage(String json) {
        try {
            readUsage(new JsonObject(json));
        } catch (DecodeException e) {
            // The tokens are counted by events instead.
            usedTokens = -1;
        }
    }

    private void readUsage(JsonObject json) {
        if (json.getValue("usage") instanceof JsonObject usage
                && usage.getValue("completion_tokens") instanceof Number tokens) {
            usedTokens = tokens.longValue();
        }
    }

    private int outputTokens() {
        return (int) Math.min(Integer.MAX_VALUE, usedTokens >= 0 ? usedTokens : events);
    }
}
