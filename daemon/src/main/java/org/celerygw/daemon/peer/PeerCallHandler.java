package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;

/** Handles incoming calls from peers. Called on a Netty thread, which it must not block. */
@FunctionalInterface
public interface PeerCallHandler {
    /**
     * Starts to handle a call; the response may follow after this method has returned.
     *
     * @param method name of the called method
     * @param request encoded request of that method
     * @param responder receives the response, from any thread
     */
    void handle(String method, ByteString request, PeerResponder responder);
}
