package org.celerygw.gateway.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.DigestPart;
import org.celerygw.core.gen.peers.PermitReply;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.Permits;
import org.celerygw.core.peers.ChangeDelay;
import org.celerygw.core.peers.DigestSplitter;
import org.celerygw.core.peers.DigestTargets;
import org.celerygw.core.peers.FleetLoadEstimator;
import org.celerygw.core.peers.HostGroup;
import org.celerygw.core.peers.ReceivedDigest;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.log.StepFailures;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends this host's digest to its peers as UDP datagrams, receives theirs, and derives the fleet's load from them. A
 * change of the load is sent after the time that {@link ChangeDelay} says; without changes, only the periodic rounds send.
 */
final class DigestExchange {
    static final long ROUND_INTERVAL_MS = 400;

    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final int ROUND_SIZE = 6;
    /** Hosts of earlier releases send their digest in one datagram, however long. */
    private static final int MAX_RECEIVED_BYTES = 16_384;

    private final Clock clock;
    private final Scheduler scheduler;
    private final String host;
    private final String zone;
    private final ServerList servers;
    private final PeerTable peers;
    private final LocalDigest localDigest;
    private final FleetLoadEstimator fleetLoadEstimator = new FleetLoadEstimator(ROUND_SIZE, ROUND_INTERVAL_MS);
    private final DigestTargets targets = new DigestTargets(ROUND_SIZE);
    private final BooleanSupplier anyWaiting;
    private final BiConsumer<Integer, Integer> onGroup;
    private final Consumer<Digest> onDigest;
    private final Permits permits;
    private final CustomerQuotas quotas;
    private HostGroup<Peer> group = new HostGroup<>(List.of(), 0, 1);
    private @Nullable Channel socket;
    private final DigestSplitter splitter = new DigestSplitter();
    private int lastDatagrams = 1;
    private long unreadDatagrams;
    private long changeDueMs = Long.MAX_VALUE;
    private boolean suspectsPending;

    /** Supplies the parts of the digest that do not concern the load. */
    @FunctionalInterface
    interface LocalDigest {
        /** The suspects are many while servers crash, so that not each digest has them. */
        Digest.Builder create(boolean withSuspects, boolean inRound);
    }

    DigestExchange(
            Clock clock,
            Scheduler scheduler,
            String host,
            String zone,
            ServerList servers,
            PeerTable peers,
            LocalDigest localDigest,
            BooleanSupplier anyWaiting,
            BiConsumer<Integer, Integer> onGroup,
            Consumer<Digest> onDigest,
            Permits permits,
            CustomerQuotas quotas) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.host = host;
        this.zone = zone;
        this.servers = servers;
        this.peers = peers;
        this.localDigest = localDigest;
        this.anyWaiting = anyWaiting;
        this.onGroup = onGroup;
        this.onDigest = onDigest;
        this.permits = permits;
        this.quotas = quotas;
    }

    /** Starts to receive datagrams; fails when the address cannot be bound. */
    Future<Void> bind(EventLoop loop, InetSocketAddress self) {
        Promise<Void> promise = Promise.promise();
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_RECEIVED_BYTES))
                .handler(new Receiver())
                .bind(self)
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        socket = bound.channel();
                        promise.complete();
                    } else {
                        promise.fail(new GatewayException(
                                ErrorCode.INVALID_ARGUMENT, "cannot listen for datagrams on " + self));
                    }
                });
        return promise.future();
    }

    /** Returns the other live hosts of this host's group. */
    Stream<Peer> group() {
        return peers.live().filter(group.peers()::contains);
    }

    /** Sends the digest to the next few peers and recomputes the fleet's load; called once per round. */
    void runRound() {
        group = HostGroup.of(peers.live().toList(), host, zone, p -> p.digest.getHost(), p -> p.digest.getZone());
        onGroup.accept(group.index(), group.count());
        send(targets.nextRound(peers.all()), true, true);
        List<ReceivedDigest> digests = peers.all().stream()
                .filter(p -> !p.digest.getHost().isEmpty())
                .map(p -> new ReceivedDigest(
                        p.digest, p.lastSeenAtMs, group.peers().contains(p)))
                .toList();
        fleetLoadEstimator.updateServers(digests, servers, clock.nowMs());
    }

    /** Called when this host's load on a backend server has changed; changes that follow each other are sent together. */
    void loadChanged() {
        boolean urgentPending = changeDueMs <= clock.nowMs() + lastDatagrams * ChangeDelay.URGENT_MS;
        // Called with each start and end of a request, so that the delay is computed only if it can matter.
        if (!urgentPending) {
            sendWithin(ChangeDelay.delayMs(group.count(), anyWaiting, servers));
        }
    }

    private void sendWithin(long singleDelayMs) {
        // A digest of several datagrams is sent as much less often, so that their number stays the same.
        long delayMs = lastDatagrams * singleDelayMs;
        long dueMs = clock.nowMs() + delayMs;
        if (dueMs < changeDueMs) {
            changeDueMs = dueMs;
            scheduler.schedule(delayMs, () -> sendChange(dueMs));
        }
    }

    /** Sends the changes collected so far, unless a more urgent one has already taken them along. */
    private void sendChange(long dueMs) {
        if (dueMs == changeDueMs) {
            changeDueMs = Long.MAX_VALUE;
            boolean withSuspects = suspectsPending;
            suspectsPending = false;
            send(group.peers(), withSuspects, false);
        }
    }

    /** Called when a server has crashed under a request. */
    void suspectsChanged() {
        suspectsPending = true;
        sendWithin(ChangeDelay.URGENT_MS);
    }

    private void send(List<Peer> receivers, boolean withSuspects, boolean inRound) {
        Channel channel = socket;
        if (channel == null || receivers.isEmpty()) {
            return;
        }
        Digest digest = localDigest
                .create(withSuspects, inRound)
                .setHost(host)
                .setZone(zone)
                .setGrantsPermits(permits.grants())
                .addAllLoads(FleetLoadEstimator.localLoads(servers, clock.nowMs()))
                .build();
        List<byte[]> datagrams =
                splitter.split(digest).stream().map(Digest::toByteArray).toList();
        lastDatagrams = datagrams.size();
        datagrams.forEach(bytes -> receivers.forEach(p -> {
            var unused = channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), p.address));
        }));
        channel.flush();
    }

    /** Returns how many datagrams of peers could not be read. */
    long unreadDatagrams() {
        return unreadDatagrams;
    }

    /** Sends a datagram without digest to the host of that name; does nothing if the host is not known. */
    void send(String receiver, Digest datagram) {
        peer(receiver).ifPresent(p -> send(p.address, datagram));
    }

    /** Sends the digest to the host of that name; does nothing if the host is not known. */
    void sendDigest(String receiver) {
        peer(receiver).ifPresent(p -> send(List.of(p), true, false));
    }

    /** A host that was replaced may have registered twice; the address that was seen last is the present one. */
    private Optional<Peer> peer(String name) {
        return peers.all().stream().filter(p -> p.name.equals(name)).max(Comparator.comparingLong(p -> p.lastSeenAtMs));
    }

    private void send(InetSocketAddress receiver, Digest datagram) {
        Channel channel = socket;
        if (channel != null) {
            var unused =
                    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram.toByteArray()), receiver));
        }
    }

    private void receiveLimitDatagram(InetSocketAddress sender, Digest datagram) {
        if (datagram.hasPermitRequest()) {
            PermitReply reply = permits.answer(datagram.getPermitRequest());
            send(sender, Digest.newBuilder().setPermitReply(reply).build());
        }
        if (datagram.hasPermitReply()) {
            permits.onReply(datagram.getPermitReply());
        }
        if (datagram.hasQuotaRequest()) {
            quotas.answer(
                    datagram.getQuotaRequest(),
                    reply -> send(
                            sender, Digest.newBuilder().setQuotaReply(reply).build()));
        }
        if (datagram.hasQuotaReply()) {
            quotas.onReply(datagram.getQuotaReply());
        }
    }

    private void receive(InetSocketAddress sender, byte[] bytes) {
        try {
            Digest digest = Digest.parseFrom(bytes);
            peers.add(sender);
            Peer peer = peers.get(sender);
            if (peer != null && digest.hasContinued()) {
                receivePart(peer, digest.getContinued());
            } else if (peer == null || digest.getHost().isEmpty()) {
                receiveLimitDatagram(sender, digest);
            } else {
                receiveDigest(sender, peer, digest);
            }
        } catch (InvalidProtocolBufferException e) {
            unreadDatagrams++;
            LOG.atWarn()
                    .addKeyValue("address", sender)
                    .addKeyValue("bytes", bytes.length)
                    .log("peers: malformed datagram dropped");
        }
    }

    private void receiveDigest(InetSocketAddress sender, Peer peer, Digest digest) {
        permits.onHostAlive(digest.getHost());
        quotas.onHostAlive(digest.getHost());
        if (peer.digest.getHost().isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("peer", digest.getHost())
                    .addKeyValue("address", sender)
                    .log("peers: first digest from a host");
        }
        boolean counted = clock.nowMs() - peer.lastSeenAtMs < FleetLoadEstimator.MAX_DIGEST_AGE_MS;
        applyLoads(counted ? peer.digest : null, digest, peer);
        peer.digest = digest;
        peer.name = digest.getHost();
        peer.lastSeenAtMs = clock.nowMs();
    }

    /** The limits and suspects of a part hold whatever digest it belongs to; its loads only beside those of its own. */
    private void receivePart(Peer peer, DigestPart part) {
        if (part.getHost().isEmpty() || !part.getHost().equals(peer.digest.getHost())) {
            return;
        }
        if (DigestSplitter.continues(peer.digest, part)) {
            applyLoads(null, DigestSplitter.toDigest(part), peer);
            peer.digest =
                    peer.digest.toBuilder().addAllLoads(part.getLoadsList()).build();
        } else {
            applyFacts(DigestSplitter.toDigest(part));
        }
    }

    private void applyLoads(@Nullable Digest previous, Digest current, Peer peer) {
        fleetLoadEstimator.applyChange(previous, current, group.peers().contains(peer), servers);
        applyFacts(current);
    }

    private void applyFacts(Digest digest) {
        onDigest.accept(digest);
        FleetLoadEstimator.applyLimits(digest, servers, clock.nowMs()).forEach(server -> LOG.atWarn()
                .addKeyValue("server", server.entry().id())
                .addKeyValue("limitPerS", server.limit().perS(clock.nowMs()))
                .addKeyValue("peer", digest.getHost())
                .log("servers: a peer tells of a request limit"));
    }

    /** Receives the datagrams of the peers. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            StepFailures.run(
                    "datagram of a host", () -> receive(packet.sender(), ByteBufUtil.getBytes(packet.content())));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An unreachable peer may cause a socket error. It is ignored, since the absence of its digests shows the
            // same.
        }
    }
}
