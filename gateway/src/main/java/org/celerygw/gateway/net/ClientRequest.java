package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete request of a client.
 *
 * @param method the request method
 * @param uri the request target, path and query, as received
 * @param headers the header section as received
 * @param body the complete body; empty when there is none
 * @param receivedAtMs when the head of the request was read, by the host's clock in ms
 */
public record ClientRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body, long receivedAtMs) {
    /**
     * Returns the path without the query.
     *
     * @return the part of the request target before the first question mark, undecoded
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
