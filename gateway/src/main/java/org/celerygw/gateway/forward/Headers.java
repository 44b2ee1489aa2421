package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Copies header sections between connections, without the fields that apply to a single connection. */
final class Headers {
    private static final Set<String> CONNECTION_SPECIFIC = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    private Headers() {}

    /** Copies the fields whose lower-case name matches, except connection-specific ones and those named by Connection. */
    static HttpHeaders copy(HttpHeaders source, Predicate<String> isForwardable) {
        Set<String> connectionOptions = source.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(v -> Arrays.stream(v.split(",")))
                .map(v -> v.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        HttpHeaders copy = new DefaultHttpHeaders(false);
        stream(source)
                .filter(e -> {
                    String name = e.getKey().toLowerCase(Locale.ROOT);
                    return !CONNECTION_SPECIFIC.contains(name)
                            && !connectionOptions.contains(name)
                            && isForwardable.test(name);
                })
                .forEach(e -> copy.add(e.getKey(), e.getValue()));
        return copy;
    }

    private static Stream<Map.Entry<String, String>> stream(HttpHeaders headers) {
        return headers.entries().stream();
    }
}
