package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.Outcome;

/** Receives the response to a model call, on the event loop that started the call. */
public interface ModelListener {
    /**
     * Called with the next complete server-sent events of a streamed response. Each event is passed once and in order;
     * the final {@code [DONE]} event is not passed.
     *
     * @param events one or more events
     */
    void onChunk(ByteString events);

    /**
     * Called exactly once when the call ends. For a streamed response the outcome holds all events that were passed to
     * {@link #onChunk}, followed by the {@code [DONE]} event.
     *
     * @param outcome the complete response or a failure
     */
    void onEnd(Outcome outcome);
}
