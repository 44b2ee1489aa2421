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

/** Copies headers from one connection to the next, without those that concern one connection only. */
final class Headers {
    private static final Set<String> ONE_CONNECTION = Set.of(
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

    static HttpHeaders copy(HttpHeaders from, Predicate<String> mayPass) {
        Set<String> named = from.getAll(HttpHeaderNames.CONNECTION).stream()
                .flatMap(v -> Arrays.stream(v.split(",")))
                .map(v -> v.trim().toLowerCase(Locale.ROOT))
                .collect(Collectors.toSet());
        HttpHeaders copy = new DefaultHttpHeaders(false);
        stream(from)
                .filter(e -> {
                    String name = e.getKey().toLowerCase(Locale.ROOT);
                    return !ONE_CONNECTION.contains(name) && !named.contains(name) && mayPass.test(name);
                })
                .forEach(e -> copy.add(e.getKey(), e.getValue()));
        return copy;
    }

    private static Stream<Map.Entry<String, String>> stream(HttpHeaders headers) {
        return headers.entries().stream();
    }
}
