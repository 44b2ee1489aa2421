package org.celerygw.gateway.peers;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.celerygw.core.peers.FleetLoadEstimator;
import org.celerygw.core.time.Clock;
import org.celerygw.gateway.net.OriginPool;
import org.jspecify.annotations.Nullable;

/** The other hosts that this host knows, by address. Not thread-safe: used on one event loop. */
final class PeerTable {
    /** More than all rows of a feed, and than a response of a server that a peer relays. */
    private static final long MAX_RESPONSE_BYTES = 16L << 20;

    private static final OriginPool.Limits LIMITS = new OriginPool.Limits(300, 8_000, 8, MAX_RESPONSE_BYTES);
    private static final long PEER_EXPIRY_MS = 60_000;

    private final EventLoop loop;
    private final Clock clock;
    private final InetSocketAddress self;
    private final Map<InetSocketAddress, Peer> byAddress = new HashMap<>();

    PeerTable(EventLoop loop, Clock clock, InetSocketAddress self) {
        this.loop = loop;
        this.clock = clock;
        this.self = self;
    }

    /** Adds a peer, unless the address is known or this host's own. */
    void add(InetSocketAddress address) {
        if (!address.equals(self)) {
            byAddress.computeIfAbsent(
                    address,
                    a -> new Peer(
                            a,
                            new OriginPool(loop, clock, a.getAddress().getHostAddress(), a.getPort(), LIMITS),
                            clock.nowMs()));
        }
    }

    @Nullable
    Peer get(InetSocketAddress address) {
        return byAddress.get(address);
    }

    /** Returns all peers, live or not. */
    List<Peer> all() {
        return List.copyOf(byAddress.values());
    }

    /** Returns the peers that sent a digest recently. */
    Stream<Peer> live() {
        long nowMs = clock.nowMs();
        return byAddress.values().stream()
                .filter(p -> nowMs - p.lastSeenAtMs < FleetLoadEstimator.MAX_DIGEST_AGE_MS
                        && !p.digest.getHost().isEmpty());
    }

    /** Removes the peers that have not been seen for {@value #PEER_EXPIRY_MS} ms and closes their connections. */
    void removeExpired() {
        long nowMs = clock.nowMs();
        List<Peer> expired = byAddress.values().stream()
                .filter(p -> nowMs - p.lastSeenAtMs > PEER_EXPIRY_MS)
                .toList();
        expired.forEach(p -> {
            byAddress.remove(p.address);
            p.originPool.close();
        });
    }
}
