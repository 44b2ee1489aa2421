package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.celerygw.core.call.Outcome;
import org.jspecify.annotations.Nullable;

/** Assembles the response to a model call, which may arrive in parts over several connections. */
final class ModelResponseReader {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final ByteString DONE_EVENT = ByteString.copyFromUtf8("data: [DONE]\n\n");

    private final int maxBytes;
    private EventSplitter splitter = new EventSplitter();
    private ByteString responseBody = ByteString.EMPTY;
    private int eventCount;
    private long reportedTokens = -1;

    ModelResponseReader(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The state of the response. */
    enum State {
        /** More events are expected. */
        OPEN,
        /** The {@code [DONE]} event was received. */
        COMPLETE,
        /** At least one event was skipped; the stream must be resumed after the last event in order. */
        GAP,
        /** The data is not a valid event stream, or the response exceeds the maximum size. */
        UNREADABLE
    }

    /**
     * The result of reading a part of a stream.
     *
     * @param state the state of the response after this part
     * @param newEvents the events that had not been received before; empty if there are none
     */
    record ReadResult(State state, ByteString newEvents) {}

    /** Discards the incomplete event at the end of the previous connection. */
    void discardPartialEvent() {
        splitter = new EventSplitter();
    }

    /** Returns the number of events received so far, which is the id of the last one. */
    int eventCount() {
        return eventCount;
    }

    /** Reads the next part of an event stream. */
    ReadResult read(Buffer part) {
        ByteString newEvents = ByteString.EMPTY;
        State state = State.OPEN;
        for (EventSplitter.ServerSentEvent event : splitter.feed(part)) {
            state = stateAfter(event);
            if (state != State.OPEN) {
                break;
            }
            if (isNew(event)) {
                newEvents = newEvents.concat(accept(event));
            }
        }
        responseBody = responseBody.concat(newEvents);
        if (responseBody.size() + splitter.pendingBytes() > maxBytes) {
            state = State.UNREADABLE;
        }
        return new ReadResult(state, newEvents);
    }

    /** Returns the outcome of an event stream that is complete. */
    Outcome streamedOutcome() {
        return Outcome.answered(200, EVENT_STREAM, responseBody.concat(DONE_EVENT), outputTokens());
    }

    /** Returns the outcome of a JSON response, or null if the body is not a chat completion. */
    @Nullable
    Outcome jsonOutcome(Buffer body, String contentType) {
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

    private State stateAfter(EventSplitter.ServerSentEvent event) {
        if (!event.isReadable()) {
            return State.UNREADABLE;
        }
        if (event.isDone()) {
            return State.COMPLETE;
        }
        return event.id() > eventCount + 1 ? State.GAP : State.OPEN;
    }

    /** Returns false for comments and for events received before, with which a resumed stream may start. */
    private boolean isNew(EventSplitter.ServerSentEvent event) {
        return !event.isComment() && (event.id() == 0 || event.id() > eventCount);
    }

    private ByteString accept(EventSplitter.ServerSentEvent event) {
        eventCount++;
        if (event.data().contains("\"usage\"")) {
            readUsage(event.data());
        }
        return event.bytes();
    }

    private void readUsage(String json) {
        try {
            readUsage(new JsonObject(json));
        } catch (DecodeException e) {
            // Falls back to the number of events as the token count.
            reportedTokens = -1;
        }
    }

    private void readUsage(JsonObject json) {
        if (json.getValue("usage") instanceof JsonObject usage
                && usage.getValue("completion_tokens") instanceof Number tokens) {
            reportedTokens = tokens.longValue();
        }
    }

    private int outputTokens() {
        return (int) Math.min(Integer.MAX_VALUE, reportedTokens >= 0 ? reportedTokens : eventCount);
    }
}
