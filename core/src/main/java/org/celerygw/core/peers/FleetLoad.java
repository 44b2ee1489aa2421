package org.celerygw.core.peers;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.Tracked;

/**
 * What the whole fleet has under way at each backend server, estimated from digests. Each host tells a few others in
 * turn, so that the cost of a host does not grow with the fleet; in a large fleet the digests heard lately are a sample
 * of the hosts, and the sum over the sample is scaled to all that live.
 *
 * <pre>{@code
 * new FleetLoad(6, 400).count(told, servers, nowMs);
 * }</pre>
 */
public final class FleetLoad {
    /** A digest older than this says nothing of the load any more. */
    public static final long FRESH_MS = 3_000;

    private static final int ENOUGH_DOUBTS = 2;
    private static final int ROUNDS_TO_LIVE = 2;

    private final int toldAtOnce;
    private final long paceMs;

    /**
     * Makes an estimate for a pace of digests.
     *
     * @param toldAtOnce how many hosts each one tells at a time
     * @param paceMs the time between two tellings, in ms
     */
    public FleetLoad(int toldAtOnce, long paceMs) {
        this.toldAtOnce = toldAtOnce;
        this.paceMs = paceMs;
    }

    /**
     * Returns what this host tells of backend servers: its requests under way, and which servers failed it lately.
     *
     * @param servers the servers
     * @param nowMs the time now, in ms
     * @return an entry for each server of which there is something to tell
     */
    public static List<ServerLoad> own(ServerList servers, long nowMs) {
        return servers.all().stream()
                .filter(t -> t.inFlight() > 0 || t.doubtfulHere(nowMs))
                .map(t -> ServerLoad.newBuilder()
                        .setServer(t.server().id())
                        .setInFlight(t.inFlight())
                        .setDoubtful(t.doubtfulHere(nowMs))
                        .build())
                .toList();
    }

    /**
     * Notes at each server what the others have under way there and whether they doubt it.
     *
     * @param told the newest digest of each host that was ever heard
     * @param servers the servers
     * @param nowMs the time now, in ms
     */
    public void count(Collection<Told> told, ServerList servers, long nowMs) {
        List<Told> fresh =
                told.stream().filter(t -> nowMs - t.heardAtMs() < FRESH_MS).toList();
        double scale = fresh.isEmpty() ? 0 : living(told, nowMs) / (double) fresh.size();
        Map<String, Integer> sums = new HashMap<>();
        Map<String, Integer> doubts = new HashMap<>();
        fresh.stream().flatMap(t -> t.digest().getLoadsList().stream()).forEach(l -> {
            sums.merge(l.getServer(), l.getInFlight(), Integer::sum);
            doubts.merge(l.getServer(), l.getDoubtful() ? 1 : 0, Integer::sum);
        });
        for (Tracked tracked : servers.all()) {
            String id = tracked.server().id();
            tracked.peersInFlight((int) Math.round(scale * sums.getOrDefault(id, 0)));
            tracked.peersDoubt(doubts.getOrDefault(id, 0) >= ENOUGH_DOUBTS);
        }
    }

    /** Counts the hosts that were heard in the last rounds; a host that fell silent longer ago is gone. */
    private long living(Collection<Told> told, long nowMs) {
        long roundMs = (told.size() + toldAtOnce - 1) / toldAtOnce * paceMs;
        long windowMs = Math.max(FRESH_MS, ROUNDS_TO_LIVE * roundMs);
        return told.stream().filter(t -> nowMs - t.heardAtMs() < windowMs).count();
    }
}
