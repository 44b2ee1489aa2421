package org.celerygw.gateway;

import org.celerygw.core.time.Clock;

/** Tells a time that begins at the host's and then runs evenly, whatever is done to the host's clock. */
public final class SteadyClock implements Clock {
    private static final long NANOS_PER_MS = 1_000_000;

    private final long startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    @Override
    public long nowMs() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }
}
