package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Rejects requests whose framing is ambiguous, that is whose length two recipients could interpret differently and that
 * could thereby smuggle a second request (RFC 9112, section 11.2).
 */
final class RequestValidator {
    private RequestValidator() {}

    /** Returns whether the request is HTTP/1.1 with a path, one Host field and an unambiguous length. */
    static boolean isValid(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean hasOneHost = headers.getAll(HttpHeaderNames.HOST).size() == 1;
        boolean hasValidLength = lengths.size() <= 1 && lengths.stream().allMatch(RequestValidator::isDecimal);
        boolean hasValidCoding = codings.isEmpty()
                || (codings.size() == 1 && "chunked".equalsIgnoreCase(codings.get(0)) && lengths.isEmpty());
        return hasOneHost
                && hasValidLength
                && hasValidCoding
                && !headers.contains(StrictRequestDecoder.CONFLICTING_LENGTH_HEADER)
                && HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                && request.uri().startsWith("/");
    }

    private static boolean isDecimal(String text) {
        return !text.isEmpty() && text.length() < 10 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
