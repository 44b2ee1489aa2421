package org.celerygw.gateway.peers;

import org.celerygw.core.time.Clock;

/** How the store answers this host. */
public final class StoreHealth {
    private static final long RECENT_MS = 2_500;

    private final Clock clock;
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private boolean failing;
    private double usualMs = 20;

    /**
     * Makes a health that knows nothing yet.
     *
     * @param clock tells the time
     */
    public StoreHealth(Clock clock) {
        this.clock = clock;
    }

    /** Notes that the store answered, however long that took. */
    public void answered() {
        answeredAtMs = clock.nowMs();
        failing = false;
    }

    /**
     * Notes that the store answered a call that does not wait.
     *
     * @param tookMs how long it took
     */
    public void answered(long tookMs) {
        answered();
        usualMs += (tookMs - usualMs) / 8;
    }

    /** Notes that a call had no answer. */
    public void failed() {
        failing = true;
    }

    /**
     * Returns whether the last call was answered, and lately.
     *
     * @return false when calls should go by a peer
     */
    public boolean answers() {
        return !failing && clock.nowMs() - answeredAtMs < RECENT_MS;
    }

    /**
     * Returns how long the store usually takes.
     *
     * @return milliseconds
     */
    public int usualMs() {
        return (int) usualMs;
    }
}
