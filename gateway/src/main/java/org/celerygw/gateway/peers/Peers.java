package org.celerygw.gateway.peers;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.RelayedCall;
import org.celerygw.core.gen.peers.RelayedReply;
import org.celerygw.core.peers.FleetLoadEstimator;
import org.celerygw.core.peers.ReceivedDigest;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.net.HttpListener;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.watch.RowFeed;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The other hosts of the gateway. Each host registers its address in a table at startup and then sends digests to its
 * peers as UDP datagrams. A digest reports whether and how quickly the store answers its host, which configuration is in
 * force there, and how many requests that host has in flight at each backend server.
 */
public final class Peers {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final OriginPool.Limits LIMITS = new OriginPool.Limits(300, 8_000, 8);
    private static final long DIGEST_INTERVAL_MS = 400;
    private static final long PEER_EXPIRY_MS = 60_000;
    private static final long REGISTRATION_RETRY_MS = 500;
    private static final long HOST_TABLE_REFRESH_MS = 10_000;
    private static final int DIGEST_FANOUT = 6;
    private static final int FAST_STORE_MS = 90;
    private static final int MAX_HOSTS = 1_000;
    private static final String ROW_PREFIX = "host/";

    private final EventLoop loop;
    private final Clock clock;
    private final Scheduler scheduler;
    private final String host;
    private final InetSocketAddress self;
    private final Table hostTable;
    private final ServerList servers;
    private final StoreHealth health;
    private final Relay relay;
    private final FleetLoadEstimator fleetLoadEstimator = new FleetLoadEstimator(DIGEST_FANOUT, DIGEST_INTERVAL_MS);
    private final Map<InetSocketAddress, Peer> peers = new HashMap<>();
    private final LocalState localState;
    private @Nullable Channel socket;
    private int nextRelayIndex;
    private int nextDigestIndex;
    private long relayedCalls;

    /** The state of this host that its digests report; notified when a peer is ahead of it. */
    public interface LocalState {
        /**
         * Returns the version of the configuration in force.
         *
         * @return the version; 0 for none
         */
        long configVersion();

        /**
         * Returns whether this host is stopping.
         *
         * @return true when peers should relay no more calls through this host
         */
        boolean leaving();

        /** Called, once per round, while a live peer reports a newer configuration than this host has. */
        void onNewerConfiguration();
    }

    /**
     * Creates the peers of a host, initially the seeds.
     *
     * @param loop the event loop on which the sockets run
     * @param clock the clock by which the age of digests is measured
     * @param scheduler runs the periodic rounds and the retries
     * @param host this host's name
     * @param self the address on which this host receives datagrams and connections of its peers
     * @param seeds addresses of hosts to which the first digests are sent
     * @param direct the partitions, called without a relay
     * @param hostTable the table in which the hosts register
     * @param feeds returns the rows of a feed, by its name, as last received by this host
     * @param servers updated with the load that the peers report
     * @param health whether and how quickly the store answers this host
     * @param localState the state of this host to report
     */
    public Peers(
            EventLoop loop,
            Clock clock,
            Scheduler scheduler,
            String host,
            InetSocketAddress self,
            List<InetSocketAddress> seeds,
            List<Table> direct,
            Table hostTable,
            Function<String, RowFeed.Result> feeds,
            ServerList servers,
            StoreHealth health,
            LocalState localState) {
        this.loop = loop;
        this.clock = clock;
        this.scheduler = scheduler;
        this.host = host;
        this.self = self;
        this.hostTable = hostTable;
        this.servers = servers;
        this.health = health;
        this.localState = localState;
        this.relay = new Relay(scheduler, direct, feeds);
        seeds.forEach(this::addPeer);
    }

    /**
     * Returns tables that call the partitions directly, or through a peer when the store does not answer this host in time.
     *
     * @param direct the partitions, called without a relay
     * @return one table per partition, in the same order
     */
    public List<Table> hedgedTables(List<Table> direct) {
        return IntStream.range(0, direct.size())
                .mapToObj(i -> (Table) new HedgedTable(i, direct.get(i), health, this, clock, scheduler))
                .toList();
    }

    /**
     * Starts to receive and send digests, registers this host and serves relayed calls.
     *
     * @return completes once the sockets are bound; fails when one of them cannot be bound
     */
    public Future<Void> start() {
        Promise<Void> promise = Promise.promise();
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
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
        return promise.future()
                .compose(v -> HttpListener.start(
                        loop, clock, self.getAddress().getHostAddress(), self.getPort(), relay::serve))
                .map(l -> {
                    register();
                    runRound();
                    return null;
                });
    }

    /**
     * Reads all rows of a feed from a peer.
     *
     * @param name the feed's name
     * @param callback called with the rows as last received by that peer; with status FAILED when no peer answers
     */
    public void readFeed(String name, Consumer<RowFeed.Result> callback) {
        relay(
                RelayedCall.newBuilder().setFeed(name).build(),
                reply -> callback.accept(reply.filter(RelayedReply::hasFeed)
                        .map(RelayedReply::getFeed)
                        .map(f -> new RowFeed.Result(
                                RowFeed.Status.OK, f.getVersion(), RowCodec.decodeRows(f.getRowsList())))
                        .orElse(RowFeed.Result.withoutRows(RowFeed.Status.FAILED))));
    }

    /**
     * Returns how many other hosts sent a digest recently.
     *
     * @return the number of live peers
     */
    public int liveCount() {
        return (int) livePeers().count();
    }

    /**
     * Returns how many calls this host has sent to peers.
     *
     * @return the number of relayed calls since the start
     */
    public long relayedCalls() {
        return relayedCalls;
    }

    boolean canRelay() {
        return livePeers().anyMatch(p -> p.digest.getStoreAnswers());
    }

    boolean canRelayQuickly() {
        return livePeers().anyMatch(p -> p.digest.getStoreAnswers() && p.digest.getStoreMs() < FAST_STORE_MS);
    }

    /** Relays a store call through a live peer that the store answers, chosen round-robin. */
    void relay(RelayedCall call, Consumer<Optional<RelayedReply>> callback) {
        List<Peer> candidates = livePeers()
                .filter(p -> p.digest.getStoreAnswers() && !p.digest.getLeaving())
                .sorted(Comparator.comparing(p -> p.digest.getHost()))
                .toList();
        if (candidates.isEmpty()) {
            callback.accept(Optional.empty());
            return;
        }
        Peer peer = candidates.get(Math.floorMod(nextRelayIndex++ + host.hashCode(), candidates.size()));
        relayedCalls++;
        relay.call(peer.originPool, call, callback);
    }

    private Stream<Peer> livePeers() {
        long nowMs = clock.nowMs();
        return peers.values().stream()
                .filter(p -> nowMs - p.lastSeenAtMs < FleetLoadEstimator.MAX_DIGEST_AGE_MS
                        && !p.digest.getHost().isEmpty());
    }

    /**
     * Writes this host's row and reads those of the others, and repeats this until both have succeeded; afterwards only
     * rereads the table periodically to find new hosts.
     */
    private void register() {
        String address = self.getAddress().getHostAddress() + ":" + self.getPort();
        Txn txn = new Txn(List.of(), List.of(Txn.Change.put(ROW_PREFIX + host, ByteString.copyFromUtf8(address))));
        hostTable.write(
                txn,
                result -> hostTable.scan(ROW_PREFIX, "", MAX_HOSTS, answer -> {
                    answer.rows().forEach(this::addPeer);
                    boolean registered = result.currentRows().isEmpty() && answer.ok() && result.version() > 0;
                    scheduler.schedule(
                            registered ? HOST_TABLE_REFRESH_MS : REGISTRATION_RETRY_MS,
                            registered ? this::refreshHosts : this::register);
                }));
    }

    private void refreshHosts() {
        hostTable.scan(ROW_PREFIX, "", MAX_HOSTS, answer -> {
            answer.rows().forEach(this::addPeer);
            scheduler.schedule(HOST_TABLE_REFRESH_MS, this::refreshHosts);
        });
    }

    private void addPeer(Row row) {
        String[] parts = row.value().toStringUtf8().split(":", 2);
        if (parts.length == 2 && !parts[1].isEmpty() && parts[1].chars().allMatch(Character::isDigit)) {
            addPeer(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        }
    }

    private void addPeer(InetSocketAddress address) {
        if (!address.equals(self)) {
            peers.computeIfAbsent(
                    address,
                    a -> new Peer(
                            a,
                            new OriginPool(loop, clock, a.getAddress().getHostAddress(), a.getPort(), LIMITS),
                            clock.nowMs()));
        }
    }

    private void runRound() {
        long nowMs = clock.nowMs();
        peers.values().removeIf(p -> nowMs - p.lastSeenAtMs > PEER_EXPIRY_MS);
        sendDigests();
        updateFleetLoad();
        if (livePeers().anyMatch(p -> p.digest.getConfigVersion() > localState.configVersion())) {
            localState.onNewerConfiguration();
        }
        scheduler.schedule(DIGEST_INTERVAL_MS, this::runRound);
    }

    private void sendDigests() {
        Digest.Builder digest = Digest.newBuilder()
                .setHost(host)
                .setConfigVersion(localState.configVersion())
                .setStoreAnswers(health.isAnswering())
                .setStoreMs(health.smoothedLatencyMs())
                .setLeaving(localState.leaving())
                .addAllLoads(FleetLoadEstimator.localLoads(servers, clock.nowMs()));
        byte[] bytes = digest.build().toByteArray();
        List<Peer> targets = new ArrayList<>(peers.values());
        int first = targets.isEmpty() ? 0 : Math.floorMod(nextDigestIndex, targets.size());
        nextDigestIndex += DIGEST_FANOUT;
        IntStream.range(0, Math.min(DIGEST_FANOUT, targets.size()))
                .mapToObj(i -> targets.get((first + i) % targets.size()))
                .forEach(p -> send(bytes, p.address));
    }

    private void send(byte[] bytes, InetSocketAddress target) {
        if (socket != null) {
            var unused = socket.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), target));
        }
    }

    private void updateFleetLoad() {
        List<ReceivedDigest> digests = peers.values().stream()
                .filter(p -> !p.digest.getHost().isEmpty())
                .map(p -> new ReceivedDigest(p.digest, p.lastSeenAtMs))
                .toList();
        fleetLoadEstimator.updateServers(digests, servers, clock.nowMs());
    }

    private void receiveDigest(InetSocketAddress sender, byte[] bytes) {
        try {
            Digest digest = Digest.parseFrom(bytes);
            addPeer(sender);
            Peer peer = peers.get(sender);
            if (peer == null || digest.getHost().isEmpty()) {
                return;
            }
            if (peer.digest.getHost().isEmpty()) {
                LOG.atInfo()
                        .addKeyValue("peer", digest.getHost())
                        .addKeyValue("address", sender)
                        .log("peers: first digest from a host");
            }
            peer.digest = digest;
            peer.lastSeenAtMs = clock.nowMs();
        } catch (InvalidProtocolBufferException e) {
            LOG.atWarn().addKeyValue("address", sender).log("peers: malformed datagram dropped");
        }
    }

    /** Receives the datagrams of the peers. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            receiveDigest(packet.sender(), ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // An unreachable peer may cause a socket error. It is ignored, since the absence of its digests shows the
            // same.
        }
    }
}
