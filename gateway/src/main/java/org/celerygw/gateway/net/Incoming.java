package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request of a client.
 *
 * @param method the method
 * @param uri path and query, as they came
 * @param headers the headers
 * @param body the whole body
 * @param arrivedMs when its head was read, in ms
 */
public record Incoming(HttpMethod method, String uri, HttpHeaders headers, byte[] body, long arrivedMs) {
    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
