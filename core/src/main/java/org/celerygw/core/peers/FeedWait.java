package org.celerygw.core.peers;

import java.util.function.DoubleSupplier;

/**
 * How long a host lets the store hold its long poll of the configuration. A connection that has gone silent shows only
 * at the end of a poll, and then one host reads the newest configuration and its digests tell the others. The waits grow
 * with the fleet and are random, so that some poll of the fleet always ends soon and the hosts' polls never end together.
 */
public final class FeedWait {
    /** The wait of a small fleet, in ms. */
    public static final long MIN_WAIT_MS = 1_000;
    /** The longest wait that the store allows, in ms. */
    public static final long MAX_WAIT_MS = 30_000;

    /** Bounds the random wait by the size of the fleet, so that about 8 of its polls end in each second. */
    private static final long WAIT_MS_PER_HOST = 250;

    private FeedWait() {}

    /**
     * Returns how long the next poll may wait.
     *
     * @param hosts the number of live hosts, this one included
     * @param confirmWithinMs within which time the store or a peer must confirm the configuration, in ms
     * @param random returns numbers in [0, 1)
     * @return the wait in ms
     */
    public static long nextMs(int hosts, long confirmWithinMs, DoubleSupplier random) {
        if (hosts <= HostGroup.MAX_HOSTS) {
            return MIN_WAIT_MS;
        }
        long longestMs = Math.min(Math.min(MAX_WAIT_MS, WAIT_MS_PER_HOST * hosts), confirmWithinMs / 2);
        return MIN_WAIT_MS + (long) (random.getAsDouble() * Math.max(0, longestMs - MIN_WAIT_MS));
    }
}
