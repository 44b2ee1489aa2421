package org.celerygw.core.servers;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Selects a server of a service that does not run engines: the least loaded one, preferably in the host's zone. If the
 * servers differ in speed, one of those with about the least expected completion time, chosen by the request's key and by
 * speed: the loads from other hosts are inexact, and all hosts would choose the same fastest server.
 */
final class PlainSelector {
    /** Another zone is used if its server has at least one request less. */
    private static final double ZONE_COST_REQUESTS = 0.5;

    /** Servers whose expected completion differs by less than this count as equal. */
    private static final double DAMPING_REQUESTS = 0.5;

    private final EngineGroup group;

    PlainSelector(EngineGroup group) {
        this.group = group;
    }

    Optional<TrackedServer> select(List<TrackedServer> candidates, String affinityKey, long nowMs) {
        boolean equallyFast =
                candidates.stream().allMatch(server -> server.speed().slowness(nowMs) == 1);
        if (equallyFast) {
            return candidates.stream()
                    .min(Comparator.<TrackedServer>comparingInt(
                                    server -> 2 * server.load() + (group.isInZone(server) ? 0 : 1))
                            .thenComparing(server -> Rendezvous.hash(server, affinityKey)));
        }
        Optional<TrackedServer> trial = Outliers.trial(candidates, nowMs);
        if (trial.isPresent()) {
            return trial;
        }
        double[] expected = candidates.stream()
                .mapToDouble(server -> expectedCompletion(server, nowMs))
                .toArray();
        double limit = Arrays.stream(expected).min().orElse(0) + DAMPING_REQUESTS;
        List<TrackedServer> best = IntStream.range(0, expected.length)
                .filter(i -> expected[i] < limit)
                .mapToObj(candidates::get)
                .toList();
        return Rendezvous.first(best, affinityKey, EngineSelector.weight(nowMs));
    }

    /** Returns the expected completion time, in requests of a server of mean speed. */
    double expectedCompletion(TrackedServer server, long nowMs) {
        double zoneCost = group.isInZone(server) ? 0 : ZONE_COST_REQUESTS;
        return (server.load() + 1) * server.speed().slowness(nowMs) + zoneCost;
    }
}
