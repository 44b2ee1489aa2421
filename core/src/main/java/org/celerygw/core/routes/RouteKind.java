package org.celerygw.core.routes;

/** What a route's requests are, and so what may be repeated. */
public enum RouteKind {
    /** May run any number of times. */
    SAFE,
    /** May run at most once for each attempt of the client. */
    UNSAFE,
    /** Generates a stream of events; may run at most once unless the route is resumable. */
    STREAMING
}
