package org.celerygw.core.servers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Lets requests spill over to engines of other groups of the own zone and then of other zones, while the engines of the
 * host's group lack room and the expected wait there is longer than the way to another zone costs. Requests stay at home
 * again as soon as the group's engines have had room for a while.
 */
final class Spillover {
    /** Bytes between zones are scarcer than within one: the wait that is accepted before they are used, in ms. */
    private static final double ZONE_COST_MS = 8;

    /** After a shortage, engines with no more than one free slot count as full, so that few requests alternate. */
    private static final long HOLD_MS = 300;

    private static final int CHOICES = 2;
    /** The load of other groups' engines is inexact by about this many standard deviations of a random load. */
    private static final double MARGIN_DEVIATIONS = 0.5;

    private final EngineGroup group;
    private final ZoneRooms rooms = new ZoneRooms();
    private final Map<String, Long> shortUntilMs = new HashMap<>();
    private ToDoubleFunction<String> serviceMs = service -> 1;

    Spillover(EngineGroup group) {
        this.group = group;
    }

    ZoneRooms rooms() {
        return rooms;
    }

    void setServiceMs(ToDoubleFunction<String> byService) {
        serviceMs = byService;
    }

    double serviceMs(String service) {
        return serviceMs.applyAsDouble(service);
    }

    /**
     * Selects an engine for a request whose group has none below the load limit.
     *
     * @param own the best engine that the group would use
     * @param others the engines that the group does not use
     */
    Optional<TrackedServer> select(
            Optional<TrackedServer> own,
            List<TrackedServer> others,
            Placement placement,
            Predicate<TrackedServer> hasRoom,
            long nowMs) {
        if (group.count() == 1 || others.isEmpty()) {
            return own;
        }
        String service = others.get(0).entry().service();
        double waitMs = own.map(server -> expectedWaitMs(server, nowMs)).orElse(Double.POSITIVE_INFINITY);
        if (waitMs <= 0) {
            return own;
        }
        shortUntilMs.put(service, nowMs + HOLD_MS);
        Optional<TrackedServer> lender = lender(service, group.zone(), others, placement, hasRoom, nowMs);
        if (lender.isEmpty() && waitMs > ZONE_COST_MS) {
            lender = zoneWithRoom(service, others, placement, nowMs)
                    .flatMap(zone -> lender(service, zone, others, placement, hasRoom, nowMs));
        }
        lender.ifPresent(server -> rooms.useToken(service, server.entry().zone()));
        return lender.or(() -> own);
    }

    /** Returns how long a request waits at an engine until a slot is free. */
    private double expectedWaitMs(TrackedServer server, long nowMs) {
        int slots = server.entry().slots();
        if (slots <= 0) {
            return 0;
        }
        String service = server.entry().service();
        int reserved = nowMs < shortUntilMs.getOrDefault(service, Long.MIN_VALUE) ? 1 : 0;
        double ahead = server.load() + reserved - slots + 1.0;
        return ahead * serviceMs.applyAsDouble(service) * server.speed().slowness(nowMs) / slots;
    }

    /** Returns a zone by its free room; the same for the same key, so that its prompt is cached in one zone. */
    private Optional<String> zoneWithRoom(String service, List<TrackedServer> others, Placement placement, long nowMs) {
        return others.stream()
                .filter(server -> !group.isInZone(server))
                .map(server -> server.entry().zone())
                .distinct()
                .filter(zone -> tokens(service, zone, nowMs) >= 1)
                .max(Comparator.comparingDouble(zone ->
                        Rendezvous.score(zone, placement.affinityKey(), rooms.freeSlots(service, zone, nowMs))));
    }

    private double tokens(String service, String zone, long nowMs) {
        int hosts = group.count() * EngineGroup.TYPICAL_HOSTS;
        return rooms.tokens(service, zone, hosts, serviceMs.applyAsDouble(service), nowMs);
    }

    private Optional<TrackedServer> lender(
            String service,
            String zone,
            List<TrackedServer> others,
            Placement placement,
            Predicate<TrackedServer> hasRoom,
            long nowMs) {
        if (tokens(service, zone, nowMs) < 1) {
            return Optional.empty();
        }
        List<TrackedServer> withRoom = others.stream()
                .filter(server -> server.entry().zone().equals(zone) && hasRoomForOthers(server))
                .filter(hasRoom)
                .toList();
        return Rendezvous.order(withRoom, placement.affinityKey(), EngineSelector.weight(nowMs), CHOICES).stream()
                .min(EngineSelector.byExpectedCompletion(nowMs));
    }

    private static boolean hasRoomForOthers(TrackedServer server) {
        int slots = server.entry().slots();
        return slots <= 0 || server.load() + MARGIN_DEVIATIONS * Math.sqrt(slots) < slots;
    }

    /** Returns how many requests may be sent to other groups' engines now. */
    double borrowableRoom(List<TrackedServer> servers, long nowMs) {
        return group.count() == 1
                ? 0
                : servers.stream()
                        .map(server -> server.entry().zone())
                        .distinct()
                        .mapToDouble(
                                zone -> Math.floor(tokens(servers.get(0).entry().service(), zone, nowMs)))
                        .filter(tokens -> tokens > 0)
                        .sum();
    }
}
