package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Locale;
import java.util.Set;
import org.celerygw.gateway.net.OriginRequest;

/** The header fields of a request that a host sends to a backend server through a peer. */
final class RelayHeaders {
    /** The id of the server to send the request to. */
    static final String SERVER = "gateway-server";

    /** The id of the client attempt, to which the response must belong. */
    static final String REQUEST = "gateway-request";

    /** The time after which the peer gives the request up, in ms. */
    static final String TIMEOUT_MS = "gateway-timeout-ms";

    /** In a response of the peer itself: nothing of the request has been sent to the server. */
    static final String NOT_SENT = "gateway-not-sent";

    private static final Set<String> ALL = Set.of(SERVER, REQUEST, TIMEOUT_MS, NOT_SENT);

    private RelayHeaders() {}

    static OriginRequest add(OriginRequest request, String serverId, String requestId, long timeoutMs) {
        HttpHeaders headers = new DefaultHttpHeaders(false).add(request.headers());
        headers.set(SERVER, serverId);
        headers.set(REQUEST, requestId);
        headers.set(TIMEOUT_MS, Long.toString(timeoutMs));
        return new OriginRequest(request.method(), request.uri(), headers, request.body());
    }

    static boolean isForwardable(String name) {
        return !ALL.contains(name.toLowerCase(Locale.ROOT));
    }
}
