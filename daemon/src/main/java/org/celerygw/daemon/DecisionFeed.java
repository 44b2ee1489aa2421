package org.celerygw.daemon;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.celerygw.api.gen.operator.WatchEvent;
import org.celerygw.core.time.Clock;

/** Passes decision lines to the operators who watch. Safe for use by many threads. */
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
        sinks.forEach(s -> s.accept(event));
    }

    /** Passes every line from now on; the result is run once to stop. */
    Runnable watch(Consumer<WatchEvent> sink) {
        sinks.add(sink);
        return () -> sinks.remove(sink);
    }
}
