package org.celerygw.core.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class HostGroupTest {
    private record Peer(String name, String zone) {}

    private static List<Peer> hosts(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Peer("h" + (1_000 + i), "z" + i % 3))
                .toList();
    }

    private static HostGroup<Peer> groupOf(Peer self, List<Peer> hosts) {
        List<Peer> others = hosts.stream().filter(h -> !h.equals(self)).toList();
        return HostGroup.of(others, self.name(), self.zone(), Peer::name, Peer::zone);
    }

    @Test
    public void aSmallFleetIsOneGroup() {
        List<Peer> hosts = hosts(HostGroup.MAX_HOSTS);
        HostGroup<Peer> group = groupOf(hosts.get(0), hosts);
        assertEquals(group.peers().size(), HostGroup.MAX_HOSTS - 1);
        assertEquals(group.count(), 1);
    }

    @Test
    public void hostsOfALargeFleetAgreeOnGroupsOfBoundedAndSimilarSize() {
        List<Peer> hosts = hosts(300);
        Map<String, Integer> members = new HashMap<>();
        for (Peer host : hosts) {
            HostGroup<Peer> group = groupOf(host, hosts);
            members.merge(host.zone() + "/" + group.index(), 1, Integer::sum);
            group.peers().forEach(peer -> {
                assertEquals(peer.zone(), host.zone());
                assertTrue(groupOf(peer, hosts).peers().contains(host), peer + " does not count " + host);
            });
        }
        assertEquals(members.size(), 3 * 9);
        members.values().forEach(size -> assertTrue(size >= 11 && size <= HostGroup.MAX_HOSTS, "group of " + size));
    }

    @Test
    public void roundsReachEveryPeerInTurn() {
        List<Peer> hosts = hosts(9);
        DigestTargets targets = new DigestTargets(6);
        List<Peer> rounds = IntStream.range(0, 3)
                .mapToObj(i -> targets.nextRound(hosts))
                .flatMap(List::stream)
                .toList();
        hosts.forEach(h -> assertEquals(rounds.stream().filter(h::equals).count(), 2));
    }
}
