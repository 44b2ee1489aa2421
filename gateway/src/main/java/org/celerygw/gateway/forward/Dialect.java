package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.celerygw.gateway.net.Incoming;

/** Translates the headers of one protocol; decides nothing. */
public interface Dialect {
    /**
     * Reads what a client's headers say.
     *
     * @param request the request
     * @return what it says
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a header cannot be read
     */
    Call call(Incoming request);

    /**
     * Returns whether a client may send this header on to a backend server.
     *
     * @param name the header's name
     * @return false for those that only the system sets
     */
    boolean mayPass(String name);

    /**
     * Adds what the system tells a backend server.
     *
     * @param headers the headers of the request to it
     * @param order what to tell
     */
    void address(HttpHeaders headers, Order order);

    /**
     * Returns whether an answer belongs to a request.
     *
     * @param head the answer's head
     * @param id the request's id
     * @return false when it names another request
     */
    boolean belongs(HttpResponse head, String id);

    /**
     * Reads what the head of an answer says.
     *
     * @param head the head
     * @return what it says
     */
    Answer answer(HttpResponse head);

    /**
     * Tells a client when to come back.
     *
     * @param headers the headers of the refusal
     * @param delayMs in how many ms
     */
    void comeBack(HttpHeaders headers, long delayMs);

    /**
     * What the system tells a backend server with a request.
     *
     * @param server the id of the server that is meant
     * @param leftMs the time left
     * @param lastEventId the event after which the stream goes on; negative for the whole stream
     */
    record Order(String server, long leftMs, long lastEventId) {}
}
