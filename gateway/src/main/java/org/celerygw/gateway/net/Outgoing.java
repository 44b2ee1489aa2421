package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request to an origin.
 *
 * @param method the method
 * @param uri path and query
 * @param headers all headers but the body's length, which is set by the sender
 * @param body the whole body; empty for none
 */
public record Outgoing(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {}
