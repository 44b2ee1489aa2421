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
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.FactUpdate;
import org.celerygw.core.membership.Member;
import org.celerygw.core.membership.MemberChange;
import org.celerygw.core.membership.Membership;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.MembershipSettings;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.gossip.Gossip;
import org.celerygw.daemon.settings.Secret;
import org.celerygw.daemon.settings.Settings;

/** This daemon's view of the fleet: which hosts are alive, where they listen and which of them may own slots. */
final class Fleet {
    /** Maximum number of hosts that own slots, since each owner adds to the write load of the store. */
    private static final int MAX_OWNERS = 32;

    private static final String FLEET_NAME = "celerygw";

    private final Gossip gossip;

    Fleet(
            Settings settings,
            HostId hostId,
            Ports ports,
            Clock clock,
            Consumer<MemberChange> onMemberChange,
            Consumer<FactUpdate> onFactUpdate) {
        Member self = new Member(
                hostId,
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
                membershipSettings(settings.gossip()),
                membershipKeys(settings.gossip()),
                self,
                RandomSource.XO_RO_SHI_RO_128_PP.create());
        this.gossip = new Gossip(membership, clock, onMemberChange, onFactUpdate);
        this.gossip.setSeeds(seedEndpoints(settings.gossip()));
    }

    /** The ports of this host that are announced to the other hosts. */
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

    /**
     * Returns the hosts that may own slots. The result depends only on the members, so all hosts with the same view of
     * the fleet compute the same owners.
     */
    SortedSet<HostId> eligibleOwners() {
        return members().stream()
                .filter(m -> !m.leaving())
                .map(Member::host)
                .sorted(Comparator.comparingLong(Fleet::hostHash).thenComparing(Comparator.naturalOrder()))
                .limit(MAX_OWNERS)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static long hostHash(HostId host) {
        return Hashing.murmur3_128()
                .hashString(host.value(), StandardCharsets.UTF_8)
                .asLong();
    }

    static MembershipKeys membershipKeys(Settings.Gossip settings) {
        Map<Integer, ByteString> keys = settings.keys().stream()
                .collect(Collectors.toMap(Settings.GossipKey::id, k -> toByteString(k.secret())));
        return new MembershipKeys(settings.signingKeyId(), keys);
    }

    static ByteString toByteString(Secret secret) {
        return ByteString.copyFrom(secret.sha256());
    }

    private static MembershipSettings membershipSettings(Settings.Gossip settings) {
        MembershipSettings defaults = MembershipSettings.defaults(FLEET_NAME);
        return new MembershipSettings(
                FLEET_NAME,
                settings.probeIntervalMs(),
                Math.max(1, settings.probeIntervalMs() * 2 / 5),
                settings.probeIntervalMs() * 2,
                settings.suspicionTimeoutMs(),
                defaults.syncIntervalMs(),
                defaults.reconnectIntervalMs(),
                defaults.tombstoneMs(),
                defaults.typicalDatagramBytes(),
                defaults.maxDatagramBytes());
    }

    /** Returns the gossip endpoints of the hosts on the platform's list, without those that are leaving. */
    static List<Endpoint> gossipEndpoints(List<HostEntry> hosts) {
        return hosts.stream()
                .filter(h -> !h.getLeaving())
                .map(h -> new Endpoint(h.getAddress(), h.getPort()))
                .toList();
    }

    private static List<Endpoint> seedEndpoints(Settings.Gossip settings) {
        return settings.seeds().stream()
                .map(s -> new Endpoint(s.address(), s.port()))
                .toList();
    }
}
