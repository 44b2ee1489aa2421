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
import org.celerygw.core.peers.FleetLoad;
import org.celerygw.core.peers.Told;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.net.Listener;
import org.celerygw.gateway.net.Origin;
import org.celerygw.gateway.watch.RowFeed;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The other hosts: found by rows that each writes at its start, kept in touch by datagrams. Each datagram says how the
 * store answers its host, which configuration is in force there and what it has under way at each backend server.
 */
public final class Peers {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final Origin.Limits LIMITS = new Origin.Limits(300, 8_000, 8);
    private static final long TICK_MS = 400;
    private static final long FORGET_MS = 60_000;
    private static final long ENROL_AGAIN_MS = 500;
    private static final long RELIST_MS = 10_000;
    private static final int MOST_TOLD = 6;
    private static final int QUICK_STORE_MS = 90;
    private static final int MOST_HOSTS = 1_000;
    private static final String ROW_PREFIX = "host/";

    private final EventLoop loop;
    private final Clock clock;
    private final Scheduler scheduler;
    private final String host;
    private final InetSocketAddress self;
    private final Table members;
    private final ServerList servers;
    private final StoreHealth health;
    private final Relay relay;
    private final FleetLoad fleet = new FleetLoad(MOST_TOLD, TICK_MS);
    private final Map<InetSocketAddress, Peer> peers = new HashMap<>();
    private final View view;
    private @Nullable Channel socket;
    private int turn;
    private int told;
    private long relayed;

    /** What this host tells of itself, and hears of others. */
    public interface View {
        /**
         * Returns the version of the configuration in force.
         *
         * @return the version; 0 for none
         */
        long configVersion();

        /**
         * Returns whether this host is stopping.
         *
         * @return true when it takes no more work
         */
        boolean leaving();

        /** A peer has a newer configuration. */
        void behind();
    }

    /**
     * Makes the peers of a host.
     *
     * @param loop runs everything
     * @param clock tells the time
     * @param scheduler runs what is done later
     * @param host this host's name
     * @param self where this host listens for its peers, by datagrams and connections
     * @param seeds hosts to tell of this one at the start
     * @param direct the partitions as this host reaches them
     * @param members the table that lists the hosts
     * @param feeds the rows of a feed as this host knows them
     * @param servers told what the peers have under way
     * @param health how the store answers
     * @param view what to tell and whom
     */
    public Peers(
            EventLoop loop,
            Clock clock,
            Scheduler scheduler,
            String host,
            InetSocketAddress self,
            List<InetSocketAddress> seeds,
            List<Table> direct,
            Table members,
            Function<String, RowFeed.News> feeds,
            ServerList servers,
            StoreHealth health,
            View view) {
        this.loop = loop;
        this.clock = clock;
        this.scheduler = scheduler;
        this.host = host;
        this.self = self;
        this.members = members;
        this.servers = servers;
        this.health = health;
        this.view = view;
        this.relay = new Relay(scheduler, direct, feeds);
        seeds.forEach(this::meet);
    }

    /**
     * Returns the partitions as reached by the best way.
     *
     * @param direct the partitions as this host reaches them
     * @return tables that go by a peer where they must
     */
    public List<Table> throughPeers(List<Table> direct) {
        return IntStream.range(0, direct.size())
                .mapToObj(i -> (Table) new PathTable(i, direct.get(i), health, this, clock, scheduler))
                .toList();
    }

    /**
     * Starts to listen and to tell.
     *
     * @return told once it listens
     */
    public Future<Void> start() {
        Promise<Void> promise = Promise.promise();
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(self)
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        socket = f.channel();
                        promise.complete();
                    } else {
                        promise.fail(new GatewayException(
                                ErrorCode.INVALID_ARGUMENT, "cannot listen for datagrams on " + self));
                    }
                });
        return promise.future()
                .compose(v ->
                        Listener.start(loop, clock, self.getAddress().getHostAddress(), self.getPort(), relay::serve))
                .map(l -> {
                    enrol();
                    tick();
                    return null;
                });
    }

    /**
     * Asks a peer for all rows of a feed.
     *
     * @param name the feed's name
     * @param done given the rows, or told that there is no answer
     */
    public void feed(String name, Consumer<RowFeed.News> done) {
        relay(
                RelayedCall.newBuilder().setFeed(name).build(),
                reply -> done.accept(reply.filter(RelayedReply::hasFeed)
                        .map(RelayedReply::getFeed)
                        .map(f -> new RowFeed.News(RowFeed.Status.OK, f.getVersion(), RowCodec.rows(f.getRowsList())))
                        .orElse(RowFeed.News.none(RowFeed.Status.FAILED))));
    }

    /**
     * Returns how many other hosts were heard lately.
     *
     * @return a count
     */
    public int alive() {
        return (int) heard().count();
    }

    /**
     * Returns how many store calls of this host were given to peers.
     *
     * @return a count
     */
    public long relayed() {
        return relayed;
    }

    boolean canRelay() {
        return heard().anyMatch(p -> p.digest.getStoreAnswers());
    }

    boolean canRelayQuickly() {
        return heard().anyMatch(p -> p.digest.getStoreAnswers() && p.digest.getStoreMs() < QUICK_STORE_MS);
    }

    /** Has a store call made by a peer that the store answers; peers take turns. */
    void relay(RelayedCall call, Consumer<Optional<RelayedReply>> done) {
        List<Peer> able = heard().filter(p -> p.digest.getStoreAnswers() && !p.digest.getLeaving())
                .sorted(Comparator.comparing(p -> p.digest.getHost()))
                .toList();
        if (able.isEmpty()) {
            done.accept(Optional.empty());
            return;
        }
        Peer peer = able.get(Math.floorMod(turn++ + host.hashCode(), able.size()));
        relayed++;
        relay.call(peer.origin, call, done);
    }

    private Stream<Peer> heard() {
        long nowMs = clock.nowMs();
        return peers.values().stream()
                .filter(p -> nowMs - p.heardAtMs < FleetLoad.FRESH_MS
                        && !p.digest.getHost().isEmpty());
    }

    /** Writes this host's row and reads the others', until both have worked; then only to see who came and went. */
    private void enrol() {
        String mine = self.getAddress().getHostAddress() + ":" + self.getPort();
        Txn txn = new Txn(List.of(), List.of(Txn.Change.put(ROW_PREFIX + host, ByteString.copyFromUtf8(mine))));
        members.write(
                txn,
                result -> members.scan(ROW_PREFIX, "", MOST_HOSTS, answer -> {
                    answer.rows().forEach(this::meet);
                    boolean done = result.found().isEmpty() && answer.ok() && result.version() > 0;
                    scheduler.after(done ? RELIST_MS : ENROL_AGAIN_MS, done ? this::relist : this::enrol);
                }));
    }

    private void relist() {
        members.scan(ROW_PREFIX, "", MOST_HOSTS, answer -> {
            answer.rows().forEach(this::meet);
            scheduler.after(RELIST_MS, this::relist);
        });
    }

    private void meet(Row row) {
        String[] parts = row.value().toStringUtf8().split(":", 2);
        if (parts.length == 2 && !parts[1].isEmpty() && parts[1].chars().allMatch(Character::isDigit)) {
            meet(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        }
    }

    private void meet(InetSocketAddress address) {
        if (!address.equals(self)) {
            peers.computeIfAbsent(
                    address,
                    a -> new Peer(
                            a,
                            new Origin(loop, clock, a.getAddress().getHostAddress(), a.getPort(), LIMITS),
                            clock.nowMs()));
        }
    }

    private void tick() {
        long nowMs = clock.nowMs();
        peers.values().removeIf(p -> nowMs - p.heardAtMs > FORGET_MS);
        tell();
        countLoads();
        if (heard().anyMatch(p -> p.digest.getConfigVersion() > view.configVersion())) {
            view.behind();
        }
        scheduler.after(TICK_MS, this::tick);
    }

    private void tell() {
        Digest.Builder digest = Digest.newBuilder()
                .setHost(host)
                .setConfigVersion(view.configVersion())
                .setStoreAnswers(health.answers())
                .setStoreMs(health.usualMs())
                .setLeaving(view.leaving())
                .addAllLoads(FleetLoad.own(servers, clock.nowMs()));
        byte[] bytes = digest.build().toByteArray();
        List<Peer> all = new ArrayList<>(peers.values());
        int from = all.isEmpty() ? 0 : Math.floorMod(told, all.size());
        told += MOST_TOLD;
        IntStream.range(0, Math.min(MOST_TOLD, all.size()))
                .mapToObj(i -> all.get((from + i) % all.size()))
                .forEach(p -> send(bytes, p.address));
    }

    private void send(byte[] bytes, InetSocketAddress to) {
        if (socket != null) {
            var unused = socket.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
        }
    }

    private void countLoads() {
        List<Told> told = peers.values().stream()
                .filter(p -> !p.digest.getHost().isEmpty())
                .map(p -> new Told(p.digest, p.heardAtMs))
                .toList();
        fleet.count(told, servers, clock.nowMs());
    }

    private void heard(InetSocketAddress from, byte[] bytes) {
        try {
            Digest digest = Digest.parseFrom(bytes);
            meet(from);
            Peer peer = peers.get(from);
            if (peer == null || digest.getHost().isEmpty()) {
                return;
            }
            if (peer.digest.getHost().isEmpty()) {
                LOG.atInfo()
                        .addKeyValue("peer", digest.getHost())
                        .addKeyValue("address", from)
                        .log("peers: heard of a host");
            }
            peer.digest = digest;
            peer.heardAtMs = clock.nowMs();
        } catch (InvalidProtocolBufferException e) {
            LOG.atWarn().addKeyValue("address", from).log("peers: a datagram cannot be read");
        }
    }

    /** Takes datagrams. */
    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            heard(packet.sender(), ByteBufUtil.getBytes(packet.content()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A peer that is not there answers with an error; its silence says the same.
        }
    }
}
