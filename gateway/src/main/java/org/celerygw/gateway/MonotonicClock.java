package org.celerygw.gateway;

import org.celerygw.core.time.Clock;

/**
 * A monotonic clock that starts at the system time. Later adjustments of the system clock have no effect on it, since it
 * advances by {@link System#nanoTime}.
 */
public final class MonotonicClock implements Clock {
    private static final long NANOS_PER_MS = 1_000_000;

    private final long startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    @Override
    public long nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
