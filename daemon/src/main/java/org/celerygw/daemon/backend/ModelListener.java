package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import org.celerygw.core.call.Outcome;

/** Told of a model call's progress, on the event loop that began it. */
public interface ModelListener {
    /**
     * Takes whole server-sent events of a streamed answer, each once and in order, without the end mark.
     *
     * @param events one event or more
     */
    void onChunk(ByteString events);

    /**
     * Takes the end; called exactly once. For a streamed answer the outcome holds all events that were passed to
     * {@link #onChunk} and the end mark after them.
     *
     * @param outcome the whole answer or a failure
     */
    void onEnd(Outcome outcome);
}
