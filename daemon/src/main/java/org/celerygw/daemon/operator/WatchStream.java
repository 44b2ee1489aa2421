package org.celerygw.daemon.operator;

import io.vertx.core.Context;
import io.vertx.grpc.server.GrpcServerRequest;
import io.vertx.grpc.server.GrpcServerResponse;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.api.gen.operator.WatchRequest;

/** Sends decision lines to one watcher; drops and counts them while the watcher reads too slowly. */
final class WatchStream {
    private static final int MAX_WAITING = 1_024;

    private final GrpcServerResponse<WatchRequest, WatchEvent> response;
    private final Context context;
    private final String prefix;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();
    private volatile boolean ended;

    private WatchStream(GrpcServerResponse<WatchRequest, WatchEvent> response, Context context, String prefix) {
        this.response = response;
        this.context = context;
        this.prefix = prefix;
    }

    static void start(
            GrpcServerRequest<WatchRequest, WatchEvent> request,
            WatchRequest message,
            Control control,
            Context context) {
        WatchStream stream = new WatchStream(request.response(), context, message.getPrefix());
        Runnable stop = control.watch(stream::offer);
        Runnable once = () -> stream.end(stop);
        request.exceptionHandler(e -> once.run());
        request.response().exceptionHandler(e -> once.run());
        request.connection().closeHandler(v -> once.run());
        request.response().writeHead().onFailure(e -> once.run());
    }

    private void end(Runnable stop) {
        if (!ended) {
            ended = true;
            stop.run();
        }
    }

    private void offer(WatchEvent event) {
        if (ended || !event.getLine().startsWith(prefix)) {
            return;
        }
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet();
            dropped.incrementAndGet();
            return;
        }
        context.runOnContext(v -> write(event));
    }

    private void write(WatchEvent event) {
        waiting.decrementAndGet();
        if (ended) {
            return;
        }
        if (response.writeQueueFull()) {
            dropped.incrementAndGet();
            return;
        }
        int missed = dropped.getAndSet(0);
        if (missed > 0) {
            send(event.toBuilder()
                    .setLine("watch: " + missed + " lines were dropped.")
                    .build());
        }
        send(event);
    }

    private void send(WatchEvent event) {
        response.write(event).onFailure(e -> ended = true);
    }
}
