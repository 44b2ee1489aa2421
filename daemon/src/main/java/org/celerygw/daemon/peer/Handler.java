package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;

/** Serves calls of peers. Called on a Netty thread, which it must not block. */
@FunctionalInterface
public interface Handler {
    /**
     * Begins to serve a call.
     *
     * @param method the name of the method
     * @param request its request
     * @param responder takes the answer, now or later, from any thread
     */
    void handle(String method, ByteString request, Responder responder);
}
