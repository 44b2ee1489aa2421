package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.celerygw.core.id.CustomerId;
import org.celerygw.gateway.net.ClientRequest;

/** Translates between the header fields of one protocol and the gateway's types; makes no routing decisions. */
public interface Dialect {
    /**
     * Decodes the header section of a client's request.
     *
     * @param request the client's request
     * @return the request's metadata
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a header cannot be parsed
     */
    RequestMetadata parseRequest(ClientRequest request);

    /**
     * Returns whether a header of a client's request is forwarded to a backend server.
     *
     * @param name the header's name
     * @param requiresKeys whether the configuration names customers, so that a credential is meant for the gateway
     * @return false for headers that only the gateway sets or reads
     */
    boolean isForwardable(String name, boolean requiresKeys);

    /**
     * Adds the headers that the gateway sets on a request to a backend server.
     *
     * @param headers the header section of the forwarded request
     * @param values the values to set
     */
    void addForwardingHeaders(HttpHeaders headers, ForwardingHeaders values);

    /**
     * Returns whether a response belongs to a request.
     *
     * @param head the status line and header section of the response
     * @param requestId the id of the request
     * @return false when the response carries the id of another request
     */
    boolean matchesRequest(HttpResponse head, String requestId);

    /**
     * Returns the header field by which a response names its request.
     *
     * @return the field's name
     */
    String requestIdField();

    /**
     * Decodes the status line and header section of a response.
     *
     * @param head the status line and header section
     * @return the response's metadata
     */
    ResponseMetadata parseResponse(HttpResponse head);

    /**
     * Sets the header that says when the client may retry.
     *
     * @param headers the header section of the refusal
     * @param delayMs the time until the retry
     */
    void setRetryAfter(HttpHeaders headers, long delayMs);

    /**
     * Values of the headers that the gateway adds to a request to a backend server.
     *
     * @param serverId the id of the server that the request is meant for
     * @param remainingMs the time left until the request's deadline
     * @param lastEventId the id of the event after which the stream resumes; negative to stream from the first event
     * @param customer the customer for which the request acts; empty for none
     */
    record ForwardingHeaders(String serverId, long remainingMs, long lastEventId, Optional<CustomerId> customer) {}
}
