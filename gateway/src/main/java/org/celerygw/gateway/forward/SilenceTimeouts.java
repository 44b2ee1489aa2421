package org.celerygw.gateway.forward;

import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;

/** How long a server may send nothing before a send is cancelled. */
final class SilenceTimeouts {
    /** Within a stream, in ms. */
    static final long STREAM_MS = 1_000;

    private static final long SAFE_MIN_MS = 250;
    private static final long STREAM_START_MIN_MS = 1_500;

    private SilenceTimeouts() {}

    /** Returns the timeout, in ms, before a response or within a stream that has started. */
    static long maxSilenceMs(Route route, boolean streaming) {
        if (route.kind() == RouteKind.SAFE) {
            return Math.max(SAFE_MIN_MS, 3 * route.targetLatencyMs());
        }
        return streaming ? STREAM_MS : Math.max(STREAM_START_MIN_MS, 6 * route.targetLatencyMs());
    }
}
