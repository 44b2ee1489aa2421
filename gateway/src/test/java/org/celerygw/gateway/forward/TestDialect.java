package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.celerygw.gateway.net.Incoming;

/** A dialect with short names, so that the gateway's tests know no platform. */
final class TestDialect implements Dialect {
    @Override
    public Call call(Incoming request) {
        HttpHeaders h = request.headers();
        return new Call(
                h.get("id", ""),
                h.get("host", ""),
                Long.parseLong(h.get("left-ms", "-1")),
                "",
                h.get("program", ""),
                h.get("previous", ""),
                Long.parseLong(h.get("budget", "-1")),
                Long.parseLong(h.get("max", "0")),
                Long.parseLong(h.get("last-event", "-1")));
    }

    @Override
    public boolean mayPass(String name) {
        return !name.equals("secret") && !name.equals("left-ms") && !name.equals("last-event");
    }

    @Override
    public void address(HttpHeaders headers, Order order) {
        headers.set("server", order.server());
        headers.set("left-ms", Long.toString(order.leftMs()));
        if (order.lastEventId() >= 0) {
            headers.set("last-event", Long.toString(order.lastEventId()));
        }
    }

    @Override
    public boolean belongs(HttpResponse head, String id) {
        return id.equals(head.headers().get("id", id));
    }

    @Override
    public Answer answer(HttpResponse head) {
        return new Answer(
                head.status().code(),
                head.headers().contains("not-run"),
                head.headers().contains("signed"),
                head.headers().contains("content-encoding"));
    }

    @Override
    public void comeBack(HttpHeaders headers, long delayMs) {
        headers.set("retry-after", Double.toString(delayMs / 1000.0));
    }
}
