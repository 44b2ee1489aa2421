package org.celerygw.daemon.route;

import com.google.protobuf.ByteString;
import org.celerygw.core.id.HostId;
import org.celerygw.daemon.work.Responder;

/** Sends requests to other hosts. Called on the host's event loop, which also runs the callbacks. */
@FunctionalInterface
public interface PeerClient {
    /** Method that submits a call; its request is an encoded {@link org.celerygw.api.gen.peer.Call}. */
    String CALL_METHOD = "call";

    /** Method of all other requests; its request is an encoded {@link org.celerygw.api.gen.owner.OwnerRequest}. */
    String OWNER_METHOD = "owner";

    /**
     * Sends a request to a host.
     *
     * @param host host that handles the request
     * @param method name of the method, such as {@link #CALL_METHOD}
     * @param request encoded request of that method
     * @param deadlineMs time at which the request fails, in milliseconds since 1970
     * @param responder receives the streamed response and the outcome; a lost connection yields the code NOT_OWNER
     * @return action that cancels the request; the caller runs it when it no longer needs the response
     */
    Runnable send(HostId host, String method, ByteString request, long deadlineMs, Responder responder);
}
