package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to an origin.
 *
 * @param method the request method
 * @param uri the request target, path and query
 * @param headers all headers except Content-Length, which is set when the request is sent
 * @param body the complete body; empty when there is none
 */
public record OriginRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}
