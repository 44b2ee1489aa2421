package org.celerygw.core.peers;

import java.util.function.BooleanSupplier;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.TrackedServer;

/**
 * Decides how long a host collects changes of its load before it sends them to its group. A small fleet, and a large one
 * whose engines are nearly full, needs each change soon, since requests would otherwise meet at the same engine. In a
 * large fleet whose engines have room, the datagrams cost every host of the group more than a choice by an older load.
 */
public final class ChangeDelay {
    /** The delay while engines are nearly full, in ms. */
    public static final long URGENT_MS = 15;

    /** The delay while engines have room, in ms; shorter than most requests to an engine last. */
    static final long RELAXED_MS = 120;

    /** The share of its slots from which on an engine counts as nearly full. */
    private static final double NEARLY_FULL_SHARE = 0.6;

    private ChangeDelay() {}

    /**
     * Returns the delay for a change of this host's load.
     *
     * @param groups the number of groups of hosts in this host's zone
     * @param waiting returns whether requests wait for an engine at this host or in its group
     * @param servers the servers with their load
     * @return the delay, in ms
     */
    public static long delayMs(int groups, BooleanSupplier waiting, ServerList servers) {
        boolean urgent =
                groups <= 1 || waiting.getAsBoolean() || servers.all().stream().anyMatch(ChangeDelay::isNearlyFull);
        return urgent ? URGENT_MS : RELAXED_MS;
    }

    /** Counts only servers that this host uses: it has nothing to tell about the others. */
    private static boolean isNearlyFull(TrackedServer server) {
        int slots = server.entry().slots();
        return server.inFlight() > 0 && slots > 0 && server.load() >= NEARLY_FULL_SHARE * slots;
    }
}
