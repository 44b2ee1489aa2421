package org.celerygw.daemon.entry;

import java.util.function.Consumer;
import org.celerygw.api.gen.owner.OwnerRequest;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.id.ProgramId;
import org.celerygw.daemon.work.Responder;

/** Reaches the owner of a program, on this host or another. Called on the host's event loop. */
public interface Programs {
    /**
     * Sends a call to its program's owner; asks again there when the owner changes.
     *
     * @param call the call
     * @param responder gets the stream and the outcome
     * @return to be run when the caller goes away
     */
    Runnable submit(CallRequest call, Responder responder);

    /**
     * Asks a program's owner for something other than a call.
     *
     * @param program the program
     * @param request what is asked
     * @param deadlineMs when to give up, in milliseconds since 1970
     * @param done given the outcome
     */
    void ask(ProgramId program, OwnerRequest request, long deadlineMs, Consumer<Outcome> done);
}
