package org.celerygw.daemon.route;

import com.google.protobuf.ByteString;
import org.celerygw.core.id.HostId;
import org.celerygw.daemon.work.Responder;

/** Sends a request to another host. Called on the host's event loop, and calls back on it. */
@FunctionalInterface
public interface Peers {
    /** Sends a call: the request is an encoded call. */
    String CALL = "call";

    /** Sends any other request of a program's owner. */
    String OWNER = "owner";

    /**
     * Sends a request.
     *
     * @param host the host to ask
     * @param method the method's name
     * @param request the encoded request
     * @param deadlineMs when to give up, in milliseconds since 1970
     * @param responder gets the stream and the outcome; a lost connection is an outcome with code NOT_OWNER
     * @return to be run when the answer is no longer wanted
     */
    Runnable send(HostId host, String method, ByteString request, long deadlineMs, Responder responder);
}
