package org.celerygw.daemon.operator;

import io.vertx.core.Context;
import io.vertx.grpc.server.GrpcServerRequest;
import io.vertx.grpc.server.GrpcServerResponse;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.api.gen.operator.WatchRequest;

/** Streams decision lines to one client; drops and counts lines while the client reads too slowly. */
final class WatchStream {
    private static final int MAX_QUEUED_EVENTS = 1_024;

    private final GrpcServerResponse<WatchRequest, WatchEvent> response;
    private final Context context;
    private final String prefix;
    private final AtomicInteger queuedEvents = new AtomicInteger();
    private final AtomicInteger droppedLines = new AtomicInteger();
    private volatile boolean ended;

    private WatchStream(GrpcServerResponse<WatchRequest, WatchEvent> response, Context context, String prefix) {
        this.response = response;
        this.context = context;
        this.prefix = prefix;
    }

    static void start(
            GrpcServerRequest<WatchRequest, WatchEvent> request,
            WatchRequest message,
            OperatorApi operatorApi,
            Context context) {
        WatchStream stream = new WatchStream(request.response(), context, message.getPrefix());
        Runnable unsubscribe = operatorApi.watch(stream::enqueue);
        Runnable endStream = () -> stream.end(unsubscribe);
        request.exceptionHandler(e -> endStream.run());
        request.response().exceptionHandler(e -> endStream.run());
        request.connection().closeHandler(v -> endStream.run());
        request.response().writeHead().onFailure(e -> endStream.run());
    }

    private void end(Runnable unsubscribe) {
        if (!ended) {
            ended = true;
            unsubscribe.run();
        }
    }

    private void enqueue(WatchEvent event) {
        if (ended || !event.getLine().startsWith(prefix)) {
            return;
        }
        if (queuedEvents.incrementAndGet() > MAX_QUEUED_EVENTS) {
            queuedEvents.decrementAndGet();
            droppedLines.incrementAndGet();
            return;
        }
        context.runOnContext(v -> write(event));
    }

    private void write(WatchEvent event) {
        queuedEvents.decrementAndGet();
        if (ended) {
            return;
        }
        if (response.writeQueueFull()) {
            droppedLines.incrementAndGet();
            return;
        }
        int droppedCount = droppedLines.getAndSet(0);
        if (droppedCount > 0) {
            send(event.toBuilder()
                    .setLine("watch: " + droppedCount + " lines were dropped.")
                    .build());
        }
        send(event);
    }

    private void send(WatchEvent event) {
        response.write(event).onFailure(e -> ended = true);
    }
}
