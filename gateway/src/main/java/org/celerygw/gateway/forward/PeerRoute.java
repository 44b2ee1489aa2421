package org.celerygw.gateway.forward;

import java.util.List;
import org.celerygw.gateway.net.OriginPool;

/** Supplies the other hosts through which backend servers can be reached. */
@FunctionalInterface
public interface PeerRoute {
    /** No other hosts. */
    PeerRoute NONE = List::of;

    /**
     * Returns the hosts to ask for the next request.
     *
     * @return connections to hosts that reach the servers themselves, in the order in which to try them; may be empty
     */
    List<OriginPool> next();
}
