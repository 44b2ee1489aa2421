package org.celerygw.gateway.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.celerygw.core.events.Event;
import org.celerygw.core.events.EventSplitter;
import org.celerygw.core.routes.RouteKind;
import org.jspecify.annotations.Nullable;

/** What goes to the client: a stream event by event, anything else at once when it is whole. */
final class Output {
    private final Exchange x;
    private final Turn turn;
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private final ByteArrayOutputStream text = new ByteArrayOutputStream();
    private final List<byte[]> held = new ArrayList<>();
    private EventSplitter splitter = new EventSplitter();
    private @Nullable HttpHeaders headers;
    private int status;
    private boolean streams;
    private long lastEventId = -1;
    private int events;

    Output(Exchange x, Turn turn) {
        this.x = x;
        this.turn = turn;
        turn.onGranted(this::flush);
    }

    /** Returns how many events the client was given. */
    int events() {
        return events - held.size();
    }

    /** Returns whether a stream has begun, here or towards the client. */
    boolean streams() {
        return streams;
    }

    long lastEventId() {
        return lastEventId;
    }

    /** Returns the data of all events, each followed by a line feed. */
    byte[] text() {
        return text.toByteArray();
    }

    void begin(HttpResponse head, Answer answer) {
        boolean goesOn = streams && answer.success();
        if (goesOn) {
            // A stream that goes on at another server keeps the head of its first one.
            splitter = new EventSplitter();
            return;
        }
        streams = answer.success() && x.route.kind() == RouteKind.STREAMING;
        status = answer.status();
        headers = Headers.copy(head.headers(), n -> true);
        whole.reset();
        if (streams) {
            flush();
        }
    }

    void add(byte[] bytes) {
        if (!streams) {
            whole.writeBytes(bytes);
            return;
        }
        for (Event event : splitter.add(bytes)) {
            if (event.id() >= 0 && event.id() <= lastEventId) {
                continue;
            }
            lastEventId = Math.max(lastEventId, event.id());
            text.writeBytes(event.data());
            text.write('\n');
            events++;
            held.add(event.bytes());
        }
        flush();
    }

    /** Returns whether nothing is half. */
    boolean whole() {
        return !streams || splitter.atBoundary();
    }

    /** Forgets what cannot be passed on: half an event, or an answer that is not a stream. */
    void broken() {
        splitter = new EventSplitter();
        whole.reset();
    }

    void end() {
        HttpHeaders head = Objects.requireNonNull(headers);
        if (!streams) {
            turn.end(0);
            x.reply.whole(status, head, whole.toByteArray());
            x.succeeded(status);
            return;
        }
        turn.finish(this, () -> {
            flush();
            x.reply.finish();
            x.succeeded(status);
        });
    }

    void flush() {
        if (headers == null || !streams || !turn.granted() || x.over()) {
            return;
        }
        if (!x.reply.begun()) {
            x.reply.begin(status, headers);
        }
        if (!held.isEmpty() && x.firstMs() == 0) {
            x.firstGiven();
        }
        held.forEach(x.reply::part);
        held.clear();
    }
}
