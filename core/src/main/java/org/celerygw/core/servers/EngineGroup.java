package org.celerygw.core.servers;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The engines that this host's group of hosts uses: its part of the engines of the zone, and its part of those in zones
 * where no host is, so that each engine belongs to some group.
 */
final class EngineGroup {
    /** About the number of hosts in a group of a large fleet. */
    static final int TYPICAL_HOSTS = 10;

    private final String zone;
    private int index;
    private int count = 1;
    private Set<String> hostZones = Set.of();

    EngineGroup(String zone) {
        this.zone = zone;
    }

    void set(int groupIndex, int groupCount) {
        index = groupIndex;
        count = groupCount;
    }

    /** Sets the zones in which hosts are; empty if not known. */
    void setHostZones(Set<String> zones) {
        hostZones = new HashSet<>(zones);
        hostZones.add(zone);
    }

    String zone() {
        return zone;
    }

    /** Returns the number of groups in the zone. */
    int count() {
        return count;
    }

    boolean isInZone(TrackedServer server) {
        return server.entry().zone().equals(zone);
    }

    /**
     * Returns the candidates that the group uses: all of the zone if it has one group of hosts. If there are none, because
     * they are leaving or the zone has no engine, the group uses all candidates.
     */
    Set<TrackedServer> subset(List<TrackedServer> servers, List<TrackedServer> candidates) {
        List<TrackedServer> local = servers.stream().filter(this::isInZone).toList();
        Set<TrackedServer> usable = new HashSet<>(candidates);
        int parts = Math.min(count, local.size());
        Stream<TrackedServer> ownPart = IntStream.range(0, local.size())
                .filter(i -> i * parts / local.size() == index * parts / count)
                .mapToObj(local::get);
        Stream<TrackedServer> withoutHosts =
                count == 1 ? Stream.of() : servers.stream().filter(this::adopts);
        Set<TrackedServer> subset = Stream.concat(ownPart, withoutHosts)
                .filter(usable::contains)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        return subset.isEmpty() ? new LinkedHashSet<>(candidates) : subset;
    }

    /** Returns whether this group uses an engine of a zone without hosts; one group of one zone does. */
    private boolean adopts(TrackedServer server) {
        if (hostZones.isEmpty() || hostZones.contains(server.entry().zone())) {
            return false;
        }
        String id = server.entry().id();
        int own = hash(id, zone);
        return Math.floorMod(hash(id, ""), count) == index
                && hostZones.stream().allMatch(other -> other.equals(zone) || hash(id, other) < own);
    }

    private static int hash(String serverId, String zone) {
        return Hashing.murmur3_32_fixed()
                .newHasher()
                .putString(serverId, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(zone, StandardCharsets.UTF_8)
                .hash()
                .asInt();
    }
}
