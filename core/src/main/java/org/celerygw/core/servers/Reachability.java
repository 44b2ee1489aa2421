package org.celerygw.core.servers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Whether this host reaches the backend servers over connections of its own. A server that refuses its connections is
 * reached through peers for a while, unless they do not reach it either. When connections to several servers fail in a row
 * and none answers, the host itself is cut off, and all servers are reached through peers until one answers directly again.
 * Not thread-safe.
 */
public final class Reachability {
    private static final long REMEMBERED_MS = 1_000;
    private static final long MAX_REFUSAL_MS = 200;
    private static final int MIN_FAILED_SERVERS = 3;
    private static final long MAX_QUIET_MS = 600;
    private static final long PROBE_INTERVAL_MS = 500;

    private final Map<TrackedServer, Long> refusedAtMs = new HashMap<>();
    private final Map<TrackedServer, Long> unreachedByPeersAtMs = new HashMap<>();
    private final Set<TrackedServer> failedInARow = new HashSet<>();
    private boolean cutOff;
    private int inFlight;
    private long quietSinceMs;
    private long lastProbeMs = Long.MIN_VALUE / 2;

    /**
     * Records that a request was sent over a connection of this host.
     *
     * @param nowMs the current time, in ms
     */
    public void onSend(long nowMs) {
        if (inFlight++ == 0) {
            quietSinceMs = nowMs;
        }
    }

    /** Records that a request that was sent over a connection of this host has ended. */
    public void onEnd() {
        inFlight--;
    }

    /**
     * Records that a server was reached directly: it accepted a connection or sent something.
     *
     * @param server the server
     * @param nowMs the current time, in ms
     * @return true if this host was cut off until now
     */
    public boolean onReached(TrackedServer server, long nowMs) {
        boolean wasCutOff = cutOff;
        quietSinceMs = nowMs;
        cutOff = false;
        failedInARow.clear();
        refusedAtMs.remove(server);
        return wasCutOff;
    }

    /**
     * Records that no connection to a server could be established.
     *
     * @param server the server
     * @param triedMs how long that took, in ms; a refusal arrives soon, a timeout may also mean that the server is down
     * @param servers the number of servers that could be tried
     * @param nowMs the current time, in ms
     * @return true if this host counts as cut off from now on
     */
    public boolean onConnectFailed(TrackedServer server, long triedMs, int servers, long nowMs) {
        refusedAtMs.keySet().removeIf(TrackedServer::hasLeft);
        if (triedMs <= MAX_REFUSAL_MS) {
            refusedAtMs.put(server, nowMs);
        }
        failedInARow.add(server);
        boolean begins = !cutOff && failedInARow.size() >= Math.min(MIN_FAILED_SERVERS, servers);
        cutOff |= begins;
        return begins;
    }

    /**
     * Records that a peer did not reach a server either.
     *
     * @param server the server
     * @param nowMs the current time, in ms
     */
    public void onPeerFailed(TrackedServer server, long nowMs) {
        unreachedByPeersAtMs.keySet().removeIf(TrackedServer::hasLeft);
        unreachedByPeersAtMs.put(server, nowMs);
    }

    /**
     * Returns whether a server should be reached through a peer.
     *
     * @param server the server
     * @param nowMs the current time, in ms
     * @return false if a connection of this host's own should be tried
     */
    public boolean prefersPeers(TrackedServer server, long nowMs) {
        return cutOff
                || (isRemembered(refusedAtMs.get(server), nowMs)
                        && !isRemembered(unreachedByPeersAtMs.get(server), nowMs));
    }

    private static boolean isRemembered(@Nullable Long atMs, long nowMs) {
        return atMs != null && nowMs < atMs + REMEMBERED_MS;
    }

    /**
     * Returns whether this host reaches no server directly.
     *
     * @return true until a server answers
     */
    public boolean isCutOff() {
        return cutOff;
    }

    /**
     * Returns whether {@link #serversToProbe} may return more than 0 before the next request is sent.
     *
     * @return false while no request is in flight and the host is not cut off
     */
    public boolean needsChecks() {
        return cutOff || inFlight > 0;
    }

    /**
     * Returns how many servers should be connected to now to find out whether this host reaches them: some when requests
     * are in flight and nothing has arrived for a while, and one at a time while the host is cut off.
     *
     * @param nowMs the current time, in ms
     * @return the number of servers; 0 if there is no doubt, or if others were tried just before
     */
    public int serversToProbe(long nowMs) {
        boolean quiet = inFlight > 0 && nowMs > quietSinceMs + MAX_QUIET_MS;
        if (nowMs < lastProbeMs + PROBE_INTERVAL_MS || !(cutOff || quiet)) {
            return 0;
        }
        lastProbeMs = nowMs;
        return cutOff || failedInARow.isEmpty() ? 1 : MIN_FAILED_SERVERS;
    }
}
