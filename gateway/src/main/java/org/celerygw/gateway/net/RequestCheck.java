package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Refuses requests whose length two readers could understand differently. */
final class RequestCheck {
    private RequestCheck() {}

    static boolean sound(HttpRequest request) {
        HttpHeaders headers = request.headers();
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean oneHost = headers.getAll(HttpHeaderNames.HOST).size() == 1;
        boolean plainLength = lengths.size() <= 1 && lengths.stream().allMatch(RequestCheck::digits);
        boolean plainCoding = codings.isEmpty()
                || (codings.size() == 1 && "chunked".equalsIgnoreCase(codings.get(0)) && lengths.isEmpty());
        return oneHost
                && plainLength
                && plainCoding
                && !headers.contains(StrictRequestDecoder.TWO_LENGTHS)
                && HttpVersion.HTTP_1_1.equals(request.protocolVersion())
                && request.uri().startsWith("/");
    }

    private static boolean digits(String text) {
        return !text.isEmpty() && text.length() < 10 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    }
}
