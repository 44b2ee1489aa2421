package org.celerygw.core.servers;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the backend server for a request. For engines, requests with the same affinity key go to the same engine by
 * rendezvous hashing (highest random weight) with bounded load, preferably in the host's availability zone. Prompts
 * cached on an engine are reused that way without coordination between hosts. For other services, the least loaded
 * server is selected, preferably in the host's zone.
 */
public final class ServerSelector {
    /** The load limit of an engine is this factor times the mean load, plus {@link #LOAD_ALLOWANCE_REQUESTS}. */
    private static final double MAX_LOAD_FACTOR = 1.3;

    private static final int LOAD_ALLOWANCE_REQUESTS = 3;

    private final String zone;

    /**
     * Creates a selector for a host.
     *
     * @param zone the host's availability zone
     */
    public ServerSelector(String zone) {
        this.zone = zone;
    }

    /**
     * Selects an engine. The engine that ran the previous turn may have up to twice the load limit of the others, since
     * it has the program's prompt cached.
     *
     * @param servers the service's servers
     * @param affinityKey the key of requests that should go to the same engine, for example the program's id
     * @param previousServer the id of the server that ran the previous turn; empty if unknown
     * @param excludedIds ids of servers that must not be selected
     * @param nowMs the current time, in ms
     * @return the engine; empty if none is usable
     */
    public Optional<TrackedServer> selectEngine(
            List<TrackedServer> servers,
            String affinityKey,
            String previousServer,
            Set<String> excludedIds,
            long nowMs) {
        List<TrackedServer> candidates = candidates(servers, excludedIds, nowMs);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        double meanLoad = candidates.stream().mapToInt(TrackedServer::load).sum() / (double) candidates.size();
        double loadLimit = meanLoad * MAX_LOAD_FACTOR + LOAD_ALLOWANCE_REQUESTS;
        Optional<TrackedServer> previous = candidates.stream()
                .filter(server -> server.entry().id().equals(previousServer))
                .filter(server -> server.load() < 2 * loadLimit && hasFreeSlot(server))
                .findFirst();
        if (previous.isPresent()) {
            return previous;
        }
        Optional<TrackedServer> preferred = candidates.stream()
                .filter(server -> server.load() < loadLimit && hasFreeSlot(server))
                .max(Comparator.<TrackedServer>comparingInt(server -> isInLocalZone(server) ? 1 : 0)
                        .thenComparing(server -> rendezvousWeight(server, affinityKey)));
        return preferred.or(() -> leastLoaded(candidates));
    }

    /**
     * Selects a server of a service that does not run engines.
     *
     * @param servers the service's servers
     * @param excludedIds ids of servers that must not be selected
     * @param affinityKey the key that decides between servers with the same load and zone
     * @param nowMs the current time, in ms
     * @return the server; empty if none is usable
     */
    public Optional<TrackedServer> selectServer(
            List<TrackedServer> servers, Set<String> excludedIds, String affinityKey, long nowMs) {
        return candidates(servers, excludedIds, nowMs).stream()
                .min(Comparator.<TrackedServer>comparingInt(
                                server -> 2 * server.load() + (isInLocalZone(server) ? 0 : 1))
                        .thenComparing(server -> rendezvousWeight(server, affinityKey)));
    }

    /**
     * Returns the usable servers that are neither paused nor failing; if there are none, those that are not paused; if
     * there are none either, all usable ones.
     */
    private static List<TrackedServer> candidates(List<TrackedServer> servers, Set<String> excludedIds, long nowMs) {
        List<TrackedServer> accepting = servers.stream()
                .filter(server -> server.isUsable()
                        && !excludedIds.contains(server.entry().id()))
                .toList();
        List<TrackedServer> notPaused =
                accepting.stream().filter(server -> !server.isPaused(nowMs)).toList();
        List<TrackedServer> healthy = notPaused.stream()
                .filter(server -> !server.hasHighFailureRate(nowMs))
                .toList();
        if (!healthy.isEmpty()) {
            return healthy;
        }
        return notPaused.isEmpty() ? accepting : notPaused;
    }

    private static Optional<TrackedServer> leastLoaded(List<TrackedServer> servers) {
        return servers.stream().min(Comparator.comparingInt(TrackedServer::load));
    }

    private static boolean hasFreeSlot(TrackedServer server) {
        return server.entry().slots() <= 0 || server.load() < server.entry().slots();
    }

    private boolean isInLocalZone(TrackedServer server) {
        return server.entry().zone().equals(zone);
    }

    private static long rendezvousWeight(TrackedServer server, String affinityKey) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(server.entry().id(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(affinityKey, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
