package org.celerygw.gateway.net;

/** Answers requests of clients. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Takes a request; answers now or later, on the event loop.
     *
     * @param request the whole request
     * @param reply takes the answer
     */
    void handle(Incoming request, Reply reply);
}
