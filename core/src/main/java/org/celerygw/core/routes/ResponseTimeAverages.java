package org.celerygw.core.routes;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Moving averages of the time that backend servers take to respond completely, for each route. Holds the routes that
 * were used last. Not thread-safe.
 */
public final class ResponseTimeAverages {
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final int MAX_ROUTES = 2_000;

    private final Map<String, Double> averageMsByRoute = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_ROUTES;
        }
    };

    /**
     * Records the response time of a complete response.
     *
     * @param route the route's name
     * @param responseMs the time from sending the request to the end of the response, in ms
     */
    public void record(String route, long responseMs) {
        averageMsByRoute.merge(
                route,
                (double) responseMs,
                (averageMs, sampleMs) -> averageMs + SMOOTHING_FACTOR * (sampleMs - averageMs));
    }

    /**
     * Returns the average response time of a route.
     *
     * @param route the route
     * @return the average, in ms; the route's target latency if no response was recorded
     */
    public long averageMs(Route route) {
        return Math.round(averageMsByRoute.getOrDefault(route.name(), (double) route.targetLatencyMs()));
    }
}
