package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.celerygw.gateway.net.Incoming;

/** Translates between the header fields of one protocol and the gateway's types; makes no routing decisions. */
public interface Dialect {
    /**
     * Decodes the header section of a client's request.
     *
     * @param request the client's request
     * @return the request's metadata
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a header cannot be parsed
     */
    Call call(Incoming request);

    /**
     * Returns whether a header of a client's request is forwarded to a backend server.
     *
     * @param name the header's name
     * @return false for headers that only the gateway sets
     */
    boolean mayPass(String name);

    /**
     * Adds the headers that the gateway sets on a request to a backend server.
     *
     * @param headers the header section of the forwarded request
     * @param values the values to set
     */
    void address(HttpHeaders headers, Order values);

    /**
     * Returns whether a response belongs to a request.
     *
     * @param head the status line and header section of the response
     * @param requestId the id of the request
     * @return false when the response carries the id of another request
     */
    boolean belongs(HttpResponse head, String requestId);

    /**
     * Decodes the status line and header section of a response.
     *
     * @param head the status line and header section
     * @return the response's metadata
     */
    Answer answer(HttpResponse head);

    /**
     * Sets the header that says when the client may retry.
     *
     * @param headers the header section of the refusal
     * @param delayMs the time until the retry
     */
    void comeBack(HttpHeaders headers, long delayMs);

    /**
     * Values of the headers that the gateway adds to a request to a backend server.
     *
     * @param server the id of the server that the request is meant for
     * @param leftMs the time left until the request's deadline
     * @param lastEventId the id of the event after which the stream resumes; negative to stream from the first event
     */
    record Order(String server, long leftMs, long lastEventId) {}
}
