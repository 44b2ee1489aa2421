package org.celerygw.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.TrackedServer;
import org.celerygw.core.time.Clock;
import org.celerygw.gateway.net.OriginPool;

/** One connection pool for each incarnation of a backend server. Not thread-safe: used on one event loop. */
public final class OriginPools {
    private static final int CONNECT_TIMEOUT_MS = 400;
    private static final long MAX_IDLE_MS = 4_000;
    private static final long MAX_STATED_IDLE_MS = 30_000;
    private static final int MAX_IDLE_CONNECTIONS = 24;
    /** Twice the largest body that is passed on, for its framing. */
    private static final long MAX_RESPONSE_BYTES = 8L << 20;

    private static final OriginPool.Limits LIMITS = new OriginPool.Limits(
            CONNECT_TIMEOUT_MS, MAX_IDLE_MS, MAX_STATED_IDLE_MS, MAX_IDLE_CONNECTIONS, MAX_RESPONSE_BYTES);

    private final EventLoop eventLoop;
    private final Clock clock;
    private final String requestIdField;
    private final Map<TrackedServer, OriginPool> poolsByServer = new HashMap<>();
    private long unassignedDataOfRemoved;

    /**
     * Creates an empty set of pools.
     *
     * @param eventLoop the event loop of all connections
     * @param clock the time source for idle times
     * @param requestIdField the header field by which a response names its request
     */
    public OriginPools(EventLoop eventLoop, Clock clock, String requestIdField) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.requestIdField = requestIdField;
    }

    /**
     * Returns the connection pool of a server, created on first use.
     *
     * @param server the server's incarnation
     * @return its pool
     */
    public OriginPool poolFor(TrackedServer server) {
        return poolsByServer.computeIfAbsent(server, t -> {
            BackendServer s = t.entry();
            return new OriginPool(eventLoop, clock, s.ip(), s.port(), LIMITS, requestIdField);
        });
    }

    /**
     * Removes the pool of a server that is gone. Idle connections close now, the others after their response.
     *
     * @param server the server's incarnation
     */
    public void remove(TrackedServer server) {
        OriginPool pool = poolsByServer.remove(server);
        if (pool != null) {
            unassignedDataOfRemoved += pool.unassignedData();
            pool.close();
        }
    }

    /**
     * Closes the idle connections to a server, which may be dead.
     *
     * @param server the server's incarnation; may be gone
     */
    public void closeIdle(TrackedServer server) {
        OriginPool pool = poolsByServer.get(server);
        if (pool != null) {
            pool.closeIdle();
        }
    }

    /** Closes all idle connections, since this host has lost its links to the servers. */
    public void closeAllIdle() {
        poolsByServer.values().forEach(OriginPool::closeIdle);
    }

    /** Closes connections whose idle time exceeds the limit. */
    public void closeExpired() {
        poolsByServer.values().forEach(OriginPool::sweep);
    }

    /**
     * Returns how many connections the current pools have opened.
     *
     * @return a count that excludes pools already removed
     */
    public long connectionsOpened() {
        return poolsByServer.values().stream()
                .mapToLong(OriginPool::connectionsOpened)
                .sum();
    }

    /**
     * Returns how often servers have sent data that belongs to no request.
     *
     * @return a count since the start
     */
    public long unassignedData() {
        return unassignedDataOfRemoved
                + poolsByServer.values().stream()
                        .mapToLong(OriginPool::unassignedData)
                        .sum();
    }
}
