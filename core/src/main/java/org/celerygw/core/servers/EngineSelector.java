package org.celerygw.core.servers;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Selects an engine by rendezvous hashing with bounded load. Loads and limits are scaled by speed: a fast engine gets more
 * keys and may have more requests.
 */
final class EngineSelector {
    /** The load limit of an engine is this factor times the mean load, plus {@link #LOAD_ALLOWANCE_REQUESTS}. */
    private static final double MAX_LOAD_FACTOR = 1.3;

    private static final int LOAD_ALLOWANCE_REQUESTS = 3;

    /** Other groups' engines are used up to this share of their slots, since their load is known less exactly. */
    private static final double OTHER_GROUPS_MAX_SHARE = 0.5;

    private static final int BORROW_CHOICES = 2;

    /** A full batch takes longer than one request by about this part of the service time. */
    private static final double LOAD_COST = 0.25;

    /** Expected times that differ by no more than this part of the service time count as equal. */
    private static final double ALIKE_SHARE = 0.05;

    private final EngineGroup group;
    private final Spillover spillover;
    private final PrefillTimes prefillTimes = new PrefillTimes();

    EngineSelector(EngineGroup group, Spillover spillover) {
        this.group = group;
        this.spillover = spillover;
    }

    PrefillTimes prefillTimes() {
        return prefillTimes;
    }

    /** Returns the load limit. The low load of engines with a request limit would reduce the mean, so they do not count. */
    static double loadLimit(List<TrackedServer> candidates, long nowMs) {
        double meanLoad = candidates.stream()
                .filter(server -> !server.limit().isInForce(nowMs))
                .mapToDouble(server -> scaledLoad(server, nowMs))
                .average()
                .orElse(0);
        return meanLoad * MAX_LOAD_FACTOR + LOAD_ALLOWANCE_REQUESTS;
    }

    /** Returns the load, as many requests as would take as long at a server of mean speed. */
    private static double scaledLoad(TrackedServer server, long nowMs) {
        return server.load() * server.speed().slowness(nowMs);
    }

    /** Returns the load with one more request, scaled by speed: the least is the first to end. */
    static Comparator<TrackedServer> byExpectedCompletion(long nowMs) {
        return Comparator.comparingDouble(
                server -> (server.load() + 1) * server.speed().slowness(nowMs));
    }

    /** The square of the speed: work is divided by speed, and requests should rather run where they end earlier. */
    static ToDoubleFunction<TrackedServer> weight(long nowMs) {
        return server -> {
            double slowness = server.speed().slowness(nowMs);
            return 1 / (slowness * slowness);
        };
    }

    /**
     * Selects an engine of the group, or else one of other groups.
     *
     * @param hasRoom whether an engine has room for the request
     */
    Optional<TrackedServer> select(
            List<TrackedServer> servers,
            List<TrackedServer> candidates,
            Placement placement,
            Predicate<TrackedServer> hasRoom,
            double loadLimit,
            long nowMs) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Optional<TrackedServer> previous = previous(candidates, placement, hasRoom, loadLimit, nowMs);
        if (previous.isPresent()) {
            return previous;
        }
        Set<TrackedServer> subset = group.subset(servers, candidates);
        List<TrackedServer> ownWithRoom = subset.stream().filter(hasRoom).toList();
        Optional<TrackedServer> trial = Outliers.trial(ownWithRoom, nowMs);
        if (trial.isPresent()) {
            return trial;
        }
        Optional<TrackedServer> own = firstBelowLimit(
                leastPrefill(belowLimit(ownWithRoom, loadLimit, nowMs), placement, nowMs), placement, loadLimit, nowMs);
        if (own.isPresent()) {
            return own;
        }
        List<TrackedServer> others =
                candidates.stream().filter(server -> !subset.contains(server)).toList();
        List<TrackedServer> borrowed =
                borrowed(others, placement, nowMs).stream().filter(hasRoom).toList();
        return firstBelowLimit(borrowed.stream().filter(group::isInZone).toList(), placement, loadLimit, nowMs)
                .or(() -> firstBelowLimit(borrowed, placement, loadLimit, nowMs))
                .or(() -> {
                    // In this order, so that the first of equally loaded engines is the same as of all in one list.
                    Optional<TrackedServer> least = Stream.concat(ownWithRoom.stream(), borrowed.stream())
                            .min(byExpectedCompletion(nowMs));
                    return spillover.select(least, others, placement, hasRoom, nowMs);
                });
    }

    private static Optional<TrackedServer> previous(
            List<TrackedServer> candidates,
            Placement placement,
            Predicate<TrackedServer> hasRoom,
            double loadLimit,
            long nowMs) {
        return candidates.stream()
                .filter(server -> server.entry().id().equals(placement.previousServer()))
                .filter(server -> scaledLoad(server, nowMs) < 2 * loadLimit && hasRoom.test(server))
                .findFirst();
    }

    private static Optional<TrackedServer> firstBelowLimit(
            List<TrackedServer> withRoom, Placement placement, double loadLimit, long nowMs) {
        return Rendezvous.first(belowLimit(withRoom, loadLimit, nowMs), placement.affinityKey(), weight(nowMs));
    }

    private static List<TrackedServer> belowLimit(List<TrackedServer> withRoom, double loadLimit, long nowMs) {
        return withRoom.stream()
                .filter(server -> scaledLoad(server, nowMs) < loadLimit)
                .toList();
    }

    /** Returns the engines that are expected to complete first, the missing parts of the prompt included. */
    private List<TrackedServer> leastPrefill(List<TrackedServer> withRoom, Placement placement, long nowMs) {
        double msPerToken = prefillTimes.msPerToken();
        if (placement.sharedParts().isEmpty() || msPerToken == 0 || withRoom.size() < 2) {
            return withRoom;
        }
        double serviceMs = spillover.serviceMs(withRoom.get(0).entry().service());
        long sharedTokens =
                placement.sharedParts().stream().mapToLong(PromptPart::tokens).sum();
        double[] expectedMs = withRoom.stream()
                .mapToDouble(server -> {
                    long missing = sharedTokens - server.promptCache().heldTokens(placement.sharedParts(), nowMs);
                    double batchMs = LOAD_COST
                            * serviceMs
                            * server.load()
                            / Math.max(1, server.entry().slots());
                    return server.speed().slowness(nowMs) * (missing * msPerToken + batchMs);
                })
                .toArray();
        double limitMs = Arrays.stream(expectedMs).min().orElse(0) + ALIKE_SHARE * serviceMs;
        return IntStream.range(0, expectedMs.length)
                .filter(i -> expectedMs[i] <= limitMs)
                .mapToObj(withRoom::get)
                .toList();
    }

    /** Only a few engines of other groups are considered: the least loaded of many inexact loads is mostly an error. */
    private List<TrackedServer> borrowed(List<TrackedServer> others, Placement placement, long nowMs) {
        if (others.stream().noneMatch(this::mayBorrow)) {
            return List.of();
        }
        int choices = group.count() == 1 ? others.size() : BORROW_CHOICES;
        if (group.count() > 1 && placement.tokens() > 0) {
            // An engine of another group whose load is known by a sample only could crash for lack of memory.
            return List.of();
        }
        return Rendezvous.order(others, placement.affinityKey(), weight(nowMs), choices).stream()
                .filter(this::mayBorrow)
                .toList();
    }

    private boolean mayBorrow(TrackedServer server) {
        return group.count() == 1
                || server.load() < OTHER_GROUPS_MAX_SHARE * server.entry().slots();
    }

    /**
     * Selects an engine for a request whose own engine needs a permit: any of the fleet, in whatever zone. The engines of
     * a group or a zone may nearly all have a limit, and the others then take the requests of all groups evenly.
     */
    static Optional<TrackedServer> selectOfAll(
            List<TrackedServer> allowed,
            Placement placement,
            Predicate<TrackedServer> hasRoom,
            double loadLimit,
            long nowMs) {
        List<TrackedServer> withRoom = allowed.stream().filter(hasRoom).toList();
        return previous(withRoom, placement, hasRoom, loadLimit, nowMs)
                .or(() -> firstBelowLimit(withRoom, placement, loadLimit, nowMs))
                .or(() -> withRoom.stream().min(byExpectedCompletion(nowMs)));
    }
}
