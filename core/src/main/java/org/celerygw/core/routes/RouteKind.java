package org.celerygw.core.routes;

/** Kind of a route's requests, which determines whether they may be retried. */
public enum RouteKind {
    /** May run any number of times, so it may be retried. */
    SAFE,
    /** May run at most once per attempt of the client. */
    UNSAFE,
    /** Generates an event stream; may run at most once unless the route is resumable. */
    STREAMING
}
