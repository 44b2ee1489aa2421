package org.celerygw.gateway.net;

/** Answers client requests. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Handles a request. It may be answered before this call returns or later, always on the event loop.
     *
     * @param request the complete request
     * @param response the response to complete or abort
     */
    void handle(ClientRequest request, ClientResponse response);
}
