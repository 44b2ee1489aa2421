package org.celerygw.daemon;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.core.time.Clock;

/** Publishes log lines of scheduling decisions to the operators who watch them. Thread-safe. */
final class DecisionFeed implements Consumer<String> {
    private final Clock clock;
    private final List<Consumer<WatchEvent>> sinks = new CopyOnWriteArrayList<>();

    DecisionFeed(Clock clock) {
        this.clock = clock;
    }

    @Override
    public void accept(String line) {
        if (sinks.isEmpty()) {
            return;
        }
        WatchEvent event =
                WatchEvent.newBuilder().setAtMs(clock.nowMs()).setLine(line).build();
        sinks.forEach(sink -> sink.accept(event));
    }

    /** Subscribes a sink to every line from now on; running the result cancels the subscription. */
    Runnable watch(Consumer<WatchEvent> sink) {
        sinks.add(sink);
        return () -> sinks.remove(sink);
    }
}
