package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;

/** Sends calls to backend servers. Called on the host's event loop; callbacks run on the same loop. */
public interface Sender {
    /**
     * Sends an attempt of a call.
     *
     * @param dispatch the call and its attempt number
     * @param onChunk receives each part of the response body with its offset in bytes
     * @param onFinished called once with the result of the attempt
     */
    void dispatch(
            Effect.Dispatch dispatch, BiConsumer<Long, ByteString> onChunk, Consumer<Event.CallFinished> onFinished);

    /**
     * Aborts a dispatched attempt; its result is still reported to the callback of {@link #dispatch}.
     *
     * @param call the call to abort
     * @param attempt the number of the attempt to abort
     */
    void abort(CallId call, long attempt);

    /**
     * Queries a service for the outcome of a call of which it is unknown whether it ran.
     *
     * @param query the call to look up
     * @param callback receives the outcome that the service proves; not called when the service can't prove one
     */
    void queryOutcome(Effect.QueryOutcome query, Consumer<Event.OutcomeReported> callback);

    /**
     * Releases the cache entries that engines hold for a program.
     *
     * @param program the program whose cached prefixes are no longer needed
     */
    void releaseCache(ProgramId program);
}
