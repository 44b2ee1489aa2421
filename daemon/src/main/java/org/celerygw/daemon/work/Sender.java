package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.owner.Effect;
import org.celerygw.core.owner.Event;

/** Sends calls to back ends. Called on the host's event loop, and calls back on it. */
public interface Sender {
    /**
     * Sends a call.
     *
     * @param dispatch the call
     * @param stream given each part of the answer with its offset in bytes
     * @param done told once how the call ended
     */
    void dispatch(Effect.Dispatch dispatch, BiConsumer<Long, ByteString> stream, Consumer<Event.Finished> done);

    /**
     * Stops a call that was dispatched; its end is still told.
     *
     * @param call the call
     * @param attempt the attempt
     */
    void abort(CallId call, long attempt);

    /**
     * Asks a service whether a call in doubt ran.
     *
     * @param ask the call
     * @param done told what the service proves; not called when it can't tell
     */
    void askOutcome(Effect.AskOutcome ask, Consumer<Event.OutcomeFound> done);

    /**
     * Releases what engines hold for a program.
     *
     * @param program the program
     */
    void release(ProgramId program);
}
