package org.celerygw.daemon.entry;

import java.util.function.Consumer;
import org.celerygw.api.gen.owner.OwnerRequest;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.id.ProgramId;
import org.celerygw.daemon.work.Responder;

/** Sends requests to the owner of a program, on this host or a remote one. Called on the host's event loop. */
public interface OwnerClient {
    /**
     * Submits a call to its program's owner, and again to the new owner when ownership changes.
     *
     * @param call the call to submit
     * @param responder receives the response stream and the outcome
     * @return an action to run when the caller disconnects
     */
    Runnable submit(CallRequest call, Responder responder);

    /**
     * Sends a program's owner a request other than a call, such as create, end or explain.
     *
     * @param program the program whose owner handles the request
     * @param request the request to send
     * @param deadlineMs when to give up, in milliseconds since the Unix epoch (1970)
     * @param callback receives the outcome
     */
    void request(ProgramId program, OwnerRequest request, long deadlineMs, Consumer<Outcome> callback);
}
