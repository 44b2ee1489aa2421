package org.celerygw.core.routes;

import java.util.LinkedHashMap;
import java.util.Map;

/** How long backend servers usually take for a request of each route, learned from whole answers. Not thread-safe. */
public final class UsualTimes {
    private static final double RECENT_WEIGHT = 0.1;
    private static final int MOST_ROUTES = 2_000;

    private final Map<String, Double> usualMs = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MOST_ROUTES;
        }
    };

    /**
     * Notes how long a server took for a whole answer.
     *
     * @param route the route's name
     * @param tookMs the time, in ms
     */
    public void took(String route, long tookMs) {
        usualMs.merge(route, (double) tookMs, (before, now) -> before + RECENT_WEIGHT * (now - before));
    }

    /**
     * Returns how long a server usually takes.
     *
     * @param route the route
     * @return the time, in ms; the route's target while no answer was seen
     */
    public long usualMs(Route route) {
        return Math.round(usualMs.getOrDefault(route.name(), (double) route.targetLatencyMs()));
    }
}
