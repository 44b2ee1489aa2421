package org.celerygw.core.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.servers.PeersLoad;
import org.celerygw.core.servers.RequestLimit;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.SpeedLearner;
import org.celerygw.core.servers.TrackedServer;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the requests that the whole fleet has in flight at each backend server, from the peers' digests. Each host
 * sends each change to the hosts of its group, and its digest to a few others in turn, so the cost per host does not grow
 * with the fleet. In a large fleet, the recent digests of other groups come from a sample of their hosts, and the sum
 * over the sample is scaled to all of them that are live.
 *
 * <pre>{@code
 * new FleetLoadEstimator(6, 400).updateServers(digests, servers, nowMs);
 * }</pre>
 */
public final class FleetLoadEstimator {
    /** Maximum age of a digest whose load is counted, in ms. */
    public static final long MAX_DIGEST_AGE_MS = 3_000;

    private static final int MIN_FAILURE_REPORTS = 2;
    private static final int MAX_LIMITS_TOLD = 600;
    private static final int LIVENESS_ROUNDS = 2;
    /**
     * The part of the peers' engine memory that is kept free: a host of the same group may have started a request in the 15
     * ms until its digest is sent, and the load of other groups is scaled up from a sample.
     */
    private static final double GROUP_MARGIN = 0.5;

    private static final double SAMPLE_MARGIN = 1;
    /** A peer without digests for this long, in ms, is taken for dead rather than partitioned. */
    private static final long MAX_SILENCE_MS = 30_000;

    private final int fanout;
    private final long intervalMs;
    private double sampleScale = 1;

    /**
     * Creates an estimator.
     *
     * @param fanout the number of peers that a host sends its digest to in one round
     * @param intervalMs the time between two rounds, in ms
     */
    public FleetLoadEstimator(int fanout, long intervalMs) {
        this.fanout = fanout;
        this.intervalMs = intervalMs;
    }

    /**
     * Returns the entries for this host's digest: its requests in flight, the servers whose failure rate is high, and the
     * {@value #MAX_LIMITS_TOLD} request limits that were named last.
     *
     * @param servers the servers
     * @param nowMs the current time, in ms
     * @return an entry for each server with requests in flight, a high failure rate or a limit to tell
     */
    public static List<ServerLoad> localLoads(ServerList servers, long nowMs) {
        Set<TrackedServer> limited = servers.all().stream()
                .filter(server -> tellsLimit(server, nowMs))
                .sorted(Comparator.comparingLong(server -> server.limit().ageMs(nowMs)))
                .limit(MAX_LIMITS_TOLD)
                .collect(Collectors.toSet());
        return servers.all().stream()
                .filter(server -> server.inFlight() > 0
                        || server.hasHighLocalFailureRate(nowMs)
                        || limited.contains(server)
                        || tellsSpeed(server, nowMs))
                .map(server -> localLoad(server, limited.contains(server), nowMs))
                .toList();
    }

    private static boolean tellsLimit(TrackedServer server, long nowMs) {
        return server.limit().isInForce(nowMs) && server.limit().ageMs(nowMs) <= RequestLimit.MAX_TOLD_AGE_MS;
    }

    /** A server of mean speed needs no entry of its own. */
    private static boolean tellsSpeed(TrackedServer server, long nowMs) {
        return server.speed().isKnownLocally(nowMs) && server.speed().slowness(nowMs) != 1;
    }

    private static ServerLoad localLoad(TrackedServer server, boolean withLimit, long nowMs) {
        ServerLoad.Builder load = ServerLoad.newBuilder()
                .setServer(server.entry().id())
                .setInFlight(server.inFlight())
                .setTokens(server.ownTokens())
                .setDoubtful(server.hasHighLocalFailureRate(nowMs));
        if (server.speed().isKnownLocally(nowMs)) {
            load.setServiceMs((float) server.speed().localUnitMs())
                    .setServiceAgeMs((int) server.speed().localSampleAgeMs(nowMs));
        }
        if (withLimit) {
            load.setLimitPerS(server.limit().perS(nowMs))
                    .setLimitAgeMs((int) server.limit().ageMs(nowMs));
        }
        return load.build();
    }

    /**
     * Applies the request limits that a peer tells.
     *
     * @param digest the peer's digest, just received
     * @param servers the servers to update
     * @param nowMs the current time, in ms
     * @return the servers whose limit this host did not know
     */
    public static List<TrackedServer> applyLimits(Digest digest, ServerList servers, long nowMs) {
        List<TrackedServer> changed = new ArrayList<>();
        for (ServerLoad load : digest.getLoadsList()) {
            TrackedServer server = servers.knownById(load.getServer());
            if (server != null && server.limit().recordTold(load.getLimitPerS(), load.getLimitAgeMs(), nowMs)) {
                changed.add(server);
            }
        }
        return changed;
    }

    /**
     * Sets each server's estimated load from the peers, and whether at least {@value #MIN_FAILURE_REPORTS} peers report
     * a high failure rate.
     *
     * @param digests the latest digest of each peer
     * @param servers the servers to update
     * @param nowMs the current time, in ms
     */
    public void updateServers(Collection<ReceivedDigest> digests, ServerList servers, long nowMs) {
        List<ReceivedDigest> recent = digests.stream()
                .filter(received -> nowMs - received.receivedAtMs() < MAX_DIGEST_AGE_MS)
                .toList();
        long sampled = recent.stream().filter(received -> !received.sameGroup()).count();
        sampleScale = sampled == 0 ? 1 : countLiveOtherHosts(digests, nowMs) / (double) sampled;
        Map<String, PeersLoad> loadsByServer = new HashMap<>();
        Map<String, Integer> failureReportsByServer = new HashMap<>();
        updateSpeeds(digests, servers, nowMs);
        recent.forEach(received -> received.digest().getLoadsList().forEach(load -> {
            loadsByServer.merge(
                    load.getServer(),
                    PeersLoad.NONE.plus(scale(received.sameGroup()), peersLoad(load, received.sameGroup())),
                    (one, other) -> one.plus(1, other));
            failureReportsByServer.merge(load.getServer(), load.getDoubtful() ? 1 : 0, Integer::sum);
        }));
        int silent = recent.isEmpty() ? countSilent(digests, nowMs) : 0;
        for (TrackedServer server : servers.all()) {
            String serverId = server.entry().id();
            server.setPeersLoad(loadsByServer.getOrDefault(serverId, PeersLoad.NONE), silent);
            server.setPeersReportFailures(failureReportsByServer.getOrDefault(serverId, 0) >= MIN_FAILURE_REPORTS);
        }
    }

    /** Speeds change less than loads, so that older digests count as well; their samples decay with age. */
    private static void updateSpeeds(Collection<ReceivedDigest> digests, ServerList servers, long nowMs) {
        servers.all().forEach(server -> server.speed().clearPeers(nowMs));
        digests.forEach(received -> received.digest().getLoadsList().forEach(load -> {
            TrackedServer server = servers.byId(load.getServer());
            if (server != null) {
                long ageMs = Math.max(0, load.getServiceAgeMs()) + nowMs - received.receivedAtMs();
                server.speed().addPeer(load.getServiceMs(), ageMs);
            }
        }));
        SpeedLearner.updateServiceMeans(servers.all(), nowMs);
    }

    /**
     * Applies the change between two consecutive digests of one peer, so that the estimates follow each digest. The next
     * {@link #updateServers} corrects what this neglects: expired digests and the number of live hosts.
     *
     * @param previous the peer's digest before; null if there was none or if it had expired
     * @param current the peer's digest now
     * @param sameGroup whether the peer belongs to this host's group
     * @param servers the servers to update
     */
    public void applyChange(@Nullable Digest previous, Digest current, boolean sameGroup, ServerList servers) {
        double scale = scale(sameGroup);
        if (previous != null) {
            previous.getLoadsList().forEach(load -> addPeersLoad(servers, load, -scale, sameGroup));
        }
        current.getLoadsList().forEach(load -> addPeersLoad(servers, load, scale, sameGroup));
    }

    /** Returns for how many hosts the digest of one stands. */
    private double scale(boolean sameGroup) {
        return sameGroup ? 1 : sampleScale;
    }

    private static PeersLoad peersLoad(ServerLoad load, boolean sameGroup) {
        double margin = sameGroup ? GROUP_MARGIN : SAMPLE_MARGIN;
        int unsized = load.getTokens() == 0 ? load.getInFlight() : 0;
        return new PeersLoad(load.getInFlight(), load.getTokens(), margin * load.getTokens(), unsized);
    }

    private static void addPeersLoad(ServerList servers, ServerLoad load, double factor, boolean sameGroup) {
        TrackedServer server = servers.byId(load.getServer());
        if (server != null) {
            server.addPeersLoad(factor, peersLoad(load, sameGroup));
        }
    }

    private static int countSilent(Collection<ReceivedDigest> digests, long nowMs) {
        return (int) digests.stream()
                .filter(received -> nowMs - received.receivedAtMs() < MAX_SILENCE_MS)
                .count();
    }

    /**
     * Counts the hosts of other groups that sent a digest within the last {@value #LIVENESS_ROUNDS} rounds over all peers;
     * the others are considered down.
     */
    private long countLiveOtherHosts(Collection<ReceivedDigest> digests, long nowMs) {
        long roundMs = (digests.size() + fanout - 1) / fanout * intervalMs;
        long windowMs = Math.max(MAX_DIGEST_AGE_MS, LIVENESS_ROUNDS * roundMs);
        return digests.stream()
                .filter(received -> !received.sameGroup() && nowMs - received.receivedAtMs() < windowMs)
                .count();
    }
}
