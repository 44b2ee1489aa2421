package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.celerygw.gateway.net.ClientRequest;

/** A dialect with short header names, so that the gateway's tests do not depend on a platform. */
final class TestDialect implements Dialect {
    @Override
    public RequestMetadata parseRequest(ClientRequest request) {
        HttpHeaders headers = request.headers();
        return new RequestMetadata(
                headers.get("id", ""),
                headers.get("host", ""),
                Long.parseLong(headers.get("left-ms", "-1")),
                "",
                headers.get("program", ""),
                Long.parseLong(headers.get("program-left-ms", "-1")),
                headers.get("previous", ""),
                Long.parseLong(headers.get("budget", "-1")),
                Long.parseLong(headers.get("prompt", "0")),
                List.of(),
                Long.parseLong(headers.get("max", "0")),
                Long.parseLong(headers.get("last-event", "-1")),
                headers.get("resumes", ""),
                new Credentials(Optional.ofNullable(headers.get("key"))));
    }

    @Override
    public boolean isForwardable(String name, boolean requiresKeys) {
        return !(requiresKeys && name.equals("key"))
                && !name.equals("customer")
                && !name.equals("secret")
                && !name.equals("left-ms")
                && !name.equals("last-event");
    }

    @Override
    public void addForwardingHeaders(HttpHeaders headers, ForwardingHeaders values) {
        headers.set("server", values.serverId());
        headers.set("left-ms", Long.toString(values.remainingMs()));
        values.customer().ifPresent(id -> headers.set("customer", id.value()));
        if (values.lastEventId() >= 0) {
            headers.set("last-event", Long.toString(values.lastEventId()));
        }
    }

    @Override
    public boolean matchesRequest(HttpResponse head, String requestId) {
        return requestId.equals(head.headers().get("id", requestId));
    }

    @Override
    public String requestIdField() {
        return "id";
    }

    @Override
    public ResponseMetadata parseResponse(HttpResponse head) {
        return new ResponseMetadata(
                head.status().code(),
                head.headers().getAll("id").size() == 1,
                head.headers().contains("not-run"),
                head.headers().contains("signed"),
                head.headers().contains("content-encoding"),
                "1".equals(head.headers().get("leaving")),
                Double.parseDouble(head.headers().get("limit", "Infinity")));
    }

    @Override
    public void setRetryAfter(HttpHeaders headers, long delayMs) {
        headers.set("retry-after", Double.toString(delayMs / 1000.0));
    }
}
