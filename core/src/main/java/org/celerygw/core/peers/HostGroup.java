package org.celerygw.core.peers;

import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * The hosts that share a subset of the engines and tell each other each change of their load. A small fleet is one group.
 * In a large one, the hosts of an availability zone are divided into groups of similar size, by the order of their names,
 * so that the cost per host does not grow with the fleet. Hosts with different views of the fleet may disagree about the
 * groups for a while; that costs balance only.
 *
 * @param <P> the type of a peer
 * @param peers the other hosts of the group
 * @param index the group's index among the groups of its zone, from 0
 * @param count the number of groups in the zone
 */
public record HostGroup<P>(List<P> peers, int index, int count) {
    /** The size up to which a fleet is one group, and the maximum size of the groups of a larger one. */
    public static final int MAX_HOSTS = 12;

    /** Copies the list of peers. */
    public HostGroup {
        peers = List.copyOf(peers);
    }

    /**
     * Determines a host's group.
     *
     * @param <P> the type of a peer
     * @param live the peers that the host hears from
     * @param host the host's name
     * @param zone the host's availability zone
     * @param nameOf returns a peer's name
     * @param zoneOf returns a peer's availability zone
     * @return the group that the host belongs to
     */
    public static <P> HostGroup<P> of(
            List<P> live, String host, String zone, Function<P, String> nameOf, Function<P, String> zoneOf) {
        if (live.size() < MAX_HOSTS) {
            return new HostGroup<>(live, 0, 1);
        }
        List<P> sameZone = live.stream()
                .filter(peer -> zoneOf.apply(peer).equals(zone))
                .sorted(Comparator.comparing(nameOf))
                .toList();
        int hosts = sameZone.size() + 1;
        int own = (int) sameZone.stream()
                .filter(peer -> nameOf.apply(peer).compareTo(host) < 0)
                .count();
        int groups = (hosts + MAX_HOSTS - 1) / MAX_HOSTS;
        int index = own * groups / hosts;
        // The position of a peer counts this host as well.
        List<P> members = IntStream.range(0, sameZone.size())
                .filter(i -> (i < own ? i : i + 1) * groups / hosts == index)
                .mapToObj(sameZone::get)
                .toList();
        return new HostGroup<>(members, index, groups);
    }
}
