package org.celerygw.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.Tracked;
import org.celerygw.core.time.Clock;
import org.celerygw.gateway.net.Origin;

/** The connections to each incarnation of a backend server. */
public final class Pools {
    private static final Origin.Limits LIMITS = new Origin.Limits(400, 4_000, 24);

    private final EventLoop loop;
    private final Clock clock;
    private final Map<Tracked, Origin> origins = new HashMap<>();

    /**
     * Makes an empty set of pools.
     *
     * @param loop runs the connections
     * @param clock tells the time
     */
    public Pools(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Returns the connections to a server.
     *
     * @param tracked the server
     * @return its connections
     */
    public Origin to(Tracked tracked) {
        return origins.computeIfAbsent(tracked, t -> {
            BackendServer s = t.server();
            return new Origin(loop, clock, s.ip(), s.port(), LIMITS);
        });
    }

    /**
     * Closes the connections to a server that has left; requests under way end first.
     *
     * @param tracked the server
     */
    public void left(Tracked tracked) {
        Origin origin = origins.remove(tracked);
        if (origin != null) {
            origin.close();
        }
    }

    /** Closes connections that were idle for too long. */
    public void sweep() {
        origins.values().forEach(Origin::sweep);
    }

    /**
     * Returns how many connections were opened so far to servers that are known now.
     *
     * @return a count
     */
    public long opened() {
        return origins.values().stream().mapToLong(Origin::opened).sum();
    }
}
