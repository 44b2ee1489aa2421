package org.celerygw.core.servers;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Servers that are much slower than the mean of their service, and trials that show whether a slow one has recovered. */
final class Outliers {
    private static final double EJECTION_SLOWNESS = 2;
    /** At most one server in this many is ejected, whatever its speed: the others must be able to take its load. */
    private static final int MIN_SERVERS_PER_EJECTED = 5;

    private Outliers() {}

    /** Returns the servers without the slowest, which get trials only; the same list if there are none. */
    static List<TrackedServer> eject(List<TrackedServer> servers, long nowMs) {
        int limit = servers.size() / MIN_SERVERS_PER_EJECTED;
        List<TrackedServer> slow = servers.stream()
                .filter(server -> server.speed().slowness(nowMs) > EJECTION_SLOWNESS)
                .toList();
        if (slow.isEmpty() || limit == 0) {
            return servers;
        }
        Set<TrackedServer> ejected = new HashSet<>(slow.stream()
                .sorted(Comparator.comparingDouble(
                                (TrackedServer server) -> server.speed().slowness(nowMs))
                        .reversed())
                .limit(limit)
                .toList());
        return servers.stream().filter(server -> !ejected.contains(server)).toList();
    }

    /** Returns a slow server that no host has tried lately, and records its trial. */
    static Optional<TrackedServer> trial(List<TrackedServer> servers, long nowMs) {
        Optional<TrackedServer> trial = servers.stream()
                .filter(server -> server.speed().needsTrial(nowMs))
                .findFirst();
        trial.ifPresent(server -> server.speed().recordTrial(nowMs));
        return trial;
    }
}
