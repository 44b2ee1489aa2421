package org.celerygw.core.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Issues permits to send one request each to servers with a request limit, evenly spaced by the limit (generic cell rate
 * algorithm). A permit may start a little later than now, so that those that ask get theirs in turn.
 * Not thread-safe.
 */
final class PermitIssuer {
    /** The longest time from now until an issued permit becomes valid, in ms. */
    static final long MAX_WAIT_MS = 1_000;

    private static final double MIN_LIMIT_PER_S = 0.001;
    private static final int MAX_SERVERS = 5_000;

    private final Map<String, Double> lastPermitMs = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_SERVERS;
        }
    };

    /**
     * Returns whether no permit for a server was issued yet.
     *
     * @param server the server's id
     * @return true before the first permit, or if that was long ago
     */
    boolean isNew(String server) {
        return !lastPermitMs.containsKey(server);
    }

    /**
     * Issues the next permit for a server if its validity can begin soon.
     *
     * @param server the server's id
     * @param limitPerS the server's limit, in requests per second
     * @param unused whether another permit for the server was not used, so that this one can take its place
     * @param nowMs the current time, in ms
     * @return the time until the permit's validity begins, in ms; none is issued if this exceeds {@link #MAX_WAIT_MS}
     */
    long issue(String server, double limitPerS, boolean unused, long nowMs) {
        double intervalMs = unused ? 0 : 1_000 / Math.max(MIN_LIMIT_PER_S, limitPerS);
        double fromMs = Math.max(nowMs, lastPermitMs.getOrDefault(server, Double.NEGATIVE_INFINITY) + intervalMs);
        long waitMs = (long) Math.ceil(fromMs - nowMs);
        if (waitMs <= MAX_WAIT_MS) {
            lastPermitMs.put(server, fromMs);
        }
        return waitMs;
    }
}
