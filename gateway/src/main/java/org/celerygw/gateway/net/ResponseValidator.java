package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Map;
import org.celerygw.core.helper.StatusLine;

/**
 * Rejects response heads into which another one has run: a server that breaks off in a head and goes on with the next
 * response writes what a parser takes for one head, with the status of the first and the header section of the second.
 * Rejects framing as well that two recipients could interpret differently, so that the body may not be the server's.
 */
final class ResponseValidator {
    private ResponseValidator() {}

    /**
     * Returns whether the head has a version of HTTP/1, an unambiguous framing, and no status line in its reason phrase or
     * header section.
     */
    static boolean isValid(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        return version.protocolName().equals("HTTP")
                && version.majorVersion() == 1
                && hasKnownCoding(head)
                && !StatusLine.occursIn(head.status().reasonPhrase())
                && isValid(head.headers());
    }

    /** The chunked coding is the only one that is undone here; HTTP/1.0 has none. */
    private static boolean hasKnownCoding(HttpResponse head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty()
                || (codings.size() == 1
                        && "chunked".equalsIgnoreCase(codings.get(0))
                        && HttpVersion.HTTP_1_1.equals(head.protocolVersion()));
    }

    private static boolean isValid(HttpHeaders headers) {
        for (Map.Entry<String, String> field : headers) {
            if (StatusLine.occursIn(field.getKey()) || StatusLine.occursIn(field.getValue())) {
                return false;
            }
        }
        return true;
    }
}
