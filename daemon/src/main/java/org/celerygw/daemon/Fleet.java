package org.celerygw.daemon;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.gen.store.HostEntry;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.Change;
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.Member;
import org.celerygw.core.membership.Membership;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.MembershipSettings;
import org.celerygw.core.membership.News;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.gossip.Gossip;
import org.celerygw.daemon.settings.Secret;
import org.celerygw.daemon.settings.Settings;

/** The other hosts as this daemon sees them: who is alive, where they listen and who may own slots. */
final class Fleet {
    /** The most hosts that own slots: each owner costs the store a share of its writes. */
    private static final int MAX_OWNERS = 32;

    private static final String NAME = "celerygw";

    private final Gossip gossip;

    Fleet(Settings settings, HostId self, Ports ports, Clock clock, Consumer<Change> onChange, Consumer<News> onNews) {
        Member member = new Member(
                self,
                settings.advertiseAddress(),
                settings.listen().gossipPort(),
                ports.peer(),
                ports.http(),
                settings.host().zone(),
                settings.host().release(),
                clock.nowMs(),
                0,
                false);
        Membership membership = new Membership(
                pace(settings.gossip()), keys(settings.gossip()), member, RandomSource.XO_RO_SHI_RO_128_PP.create());
        this.gossip = new Gossip(membership, clock, onChange, onNews);
        this.gossip.seed(seeds(settings.gossip()));
    }

    /** The ports that other hosts reach this one at. */
    record Ports(int http, int peer) {}

    CompletableFuture<InetSocketAddress> start(Settings settings) {
        return gossip.start(new InetSocketAddress(
                settings.listen().address(), settings.listen().gossipPort()));
    }

    Gossip gossip() {
        return gossip;
    }

    List<Member> members() {
        return gossip.members();
    }

    Optional<InetSocketAddress> peerAddress(HostId host) {
        return members().stream()
                .filter(m -> m.host().equals(host))
                .findFirst()
                .map(m -> new InetSocketAddress(m.address(), m.peerPort()));
    }

    /** Returns the hosts that may own slots; every host that sees the same members returns the same ones. */
    SortedSet<HostId> owners() {
        return members().stream()
                .filter(m -> !m.leaving())
                .map(Member::host)
                .sorted(Comparator.comparingLong(Fleet::weight).thenComparing(Comparator.naturalOrder()))
                .limit(MAX_OWNERS)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static long weight(HostId host) {
        return Hashing.murmur3_128()
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asLong();
    }

    static MembershipKeys keys(Settings.Gossip settings) {
        Map<Integer, ByteString> keys =
                settings.keys().stream().collect(Collectors.toMap(Settings.GossipKey::id, k -> bytes(k.secret())));
        return new MembershipKeys(settings.sendKeyId(), keys);
    }

    static ByteString bytes(Secret secret) {
        return ByteString.copyFrom(secret.bytes());
    }

    private static MembershipSettings pace(Settings.Gossip g) {
        MembershipSettings d = MembershipSettings.defaults(NAME);
        return new MembershipSettings(
                NAME,
                g.probeIntervalMs(),
                Math.max(1, g.probeIntervalMs() * 2 / 5),
                g.probeIntervalMs() * 2,
                g.suspicionMs(),
                d.syncIntervalMs(),
                d.reviveIntervalMs(),
                d.tombstoneMs(),
                d.datagramBytes(),
                d.maxDatagramBytes());
    }

    /** Returns where the platform's list says that hosts listen for membership. */
    static List<Endpoint> endpoints(List<HostEntry> hosts) {
        return hosts.stream()
                .filter(h -> !h.getLeaving())
                .map(h -> new Endpoint(h.getAddress(), h.getPort()))
                .toList();
    }

    private static List<Endpoint> seeds(Settings.Gossip settings) {
        return settings.seeds().stream()
                .map(s -> new Endpoint(s.address(), s.port()))
                .toList();
    }
}
