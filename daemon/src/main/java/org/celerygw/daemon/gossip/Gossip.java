package org.celerygw.daemon.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.Function;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.FactUpdate;
import org.celerygw.core.membership.LoadSummary;
import org.celerygw.core.membership.Member;
import org.celerygw.core.membership.MemberChange;
import org.celerygw.core.membership.Membership;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.MembershipOutput;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the membership of this daemon over UDP on one Netty event loop. Methods may be called from any thread; the
 * listeners are called on the event loop thread, which they must not block.
 *
 * <pre>{@code
 * Gossip gossip = new Gossip(membership, clock, this::memberChanged, this::factUpdated);
 * gossip.start(new InetSocketAddress(address, port)).get();
 * gossip.setSeeds(endpoints);
 * List<Member> members = gossip.members();
 * }</pre>
 */
public final class Gossip implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Gossip.class);
    private static final long TICK_MS = 50;
    /** Number of ticks after which the snapshot of the members is renewed. */
    private static final int SNAPSHOT_INTERVAL_TICKS = 20;
    /** Longer than the maximum datagram, so that an oversized one is detected as such and not truncated. */
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    private final Membership membership;
    private final Clock clock;
    private final Consumer<MemberChange> onMemberChange;
    private final Consumer<FactUpdate> onFactUpdate;
    private final EventLoopGroup eventLoop =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("gossip", true), NioIoHandler.newFactory());
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentDatagrams = new LongAdder();
    private final LongAdder receivedDatagrams = new LongAdder();
    /** Snapshot of the members for callers on other threads. */
    private volatile List<Member> members;

    private long tickCount;
    private volatile @Nullable Channel channel;

    /**
     * Creates the UDP transport of a membership, which must not be used by anything else from then on.
     *
     * @param membership the membership to run
     * @param clock the source of the current time
     * @param onMemberChange called for each change in the membership of the fleet
     * @param onFactUpdate called for each received fact that is newer than the one known before
     */
    public Gossip(
            Membership membership,
            Clock clock,
            Consumer<MemberChange> onMemberChange,
            Consumer<FactUpdate> onFactUpdate) {
        this.membership = membership;
        this.clock = clock;
        this.onMemberChange = onMemberChange;
        this.onFactUpdate = onFactUpdate;
        this.members = membership.members();
    }

    /**
     * Binds the UDP socket and starts the membership.
     *
     * @param address the address to listen on; its port must be the gossip port in this daemon's member record
     * @return completes with the bound address, or fails when binding fails
     */
    public CompletableFuture<InetSocketAddress> start(InetSocketAddress address) {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES))
                .handler(new Receiver())
                .bind(address)
                .addListener((ChannelFuture future) -> {
                    if (!future.isSuccess()) {
                        bound.completeExceptionally(future.cause());
                        return;
                    }
                    channel = future.channel();
                    var unused = eventLoop.scheduleAtFixedRate(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
                    bound.complete((InetSocketAddress) future.channel().localAddress());
                });
        return bound;
    }

    /**
     * Returns the members that are alive or suspect, including this daemon.
     *
     * @return a snapshot, ordered by host id; may be up to a second old
     */
    public List<Member> members() {
        return members;
    }

    /**
     * Replaces the seeds, which come from the platform's host list.
     *
     * @param endpoints the gossip endpoints of the listed daemons
     */
    public void setSeeds(Collection<Endpoint> endpoints) {
        List<Endpoint> copy = List.copyOf(endpoints);
        runAndUpdateSnapshot(m -> m.setSeeds(copy));
    }

    /**
     * Replaces the keys for signing and verifying datagrams.
     *
     * @param keys the new keys
     */
    public void rotateKeys(MembershipKeys keys) {
        runAndUpdateSnapshot(m -> m.rotateKeys(keys));
    }

    /** Announces to the fleet that this daemon is stopping but still responds. */
    public void markStopping() {
        runAndUpdateSnapshot(Membership::markStopping);
    }

    /**
     * Announces an accepted configuration version to the fleet.
     *
     * @param version the version; ignored unless it is higher than the highest version known
     */
    public void announceConfig(long version) {
        runAndUpdateSnapshot(m -> m.announceConfig(version));
    }

    /**
     * Sets the version of the configuration that is active in this daemon, and announces it.
     *
     * @param version the version
     */
    public void setActiveConfigVersion(long version) {
        runAndUpdateSnapshot(m -> m.setActiveConfigVersion(version));
    }

    /**
     * Disseminates that a backend server is leaving.
     *
     * @param id the backend server
     * @param version orders the marks of one backend server
     */
    public void markServerLeaving(BackendServerId id, long version) {
        runAndUpdateSnapshot(m -> m.markServerLeaving(id, version));
    }

    /**
     * Disseminates that the leaving mark of a backend server is withdrawn.
     *
     * @param id the backend server
     * @param version higher than the version of the mark that it withdraws
     */
    public void markStaying(BackendServerId id, long version) {
        runAndUpdateSnapshot(m -> m.markServerStaying(id, version));
    }

    /**
     * Disseminates the load of an engine.
     *
     * @param id the engine
     * @param load the observed load
     */
    public void reportLoad(BackendServerId id, LoadSummary load) {
        runAndUpdateSnapshot(m -> m.reportLoad(id, load));
    }

    /**
     * Evaluates a function of the membership on the event loop thread.
     *
     * @param read the function, which must not modify the membership
     * @param <T> the type of the result
     * @return completes with the result of the function
     */
    public <T> CompletableFuture<T> query(Function<Membership, T> read) {
        return CompletableFuture.supplyAsync(() -> read.apply(membership), eventLoop);
    }

    /**
     * Returns the newest known load of an engine.
     *
     * @param id the engine
     * @return completes with the load, or empty when none was observed in the last 5 minutes
     */
    public CompletableFuture<Optional<LoadSummary>> load(BackendServerId id) {
        return query(m -> m.load(id));
    }

    /**
     * Returns the traffic counters since the start.
     *
     * @return completes with a snapshot of the counters
     */
    public CompletableFuture<GossipCounters> counters() {
        return query(m -> new GossipCounters(
                sentBytes.sum(),
                receivedBytes.sum(),
                sentDatagrams.sum(),
                receivedDatagrams.sum(),
                m.droppedDatagrams()));
    }

    /**
     * Announces that this daemon leaves the fleet. The socket stays open until {@link #close()}.
     *
     * @return completes when the announcement has been handed to the socket
     */
    public CompletableFuture<Void> leave() {
        return CompletableFuture.runAsync(() -> deliver(membership.leave(clock.nowMs())), eventLoop);
    }

    /** Closes the socket without announcing that this daemon leaves. */
    @Override
    public void close() {
        eventLoop.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void runAndUpdateSnapshot(Consumer<Membership> action) {
        eventLoop.execute(() -> {
            action.accept(membership);
            members = membership.members();
        });
    }

    private void tick() {
        try {
            deliver(membership.tick(clock.nowMs()));
            if (++tickCount % SNAPSHOT_INTERVAL_TICKS == 0) {
                // Member records also change without an event, for example the active configuration version.
                members = membership.members();
            }
        } catch (RuntimeException e) {
            // An exception would cancel the periodic task and thereby end this daemon's membership.
            LOG.error("member: tick failed; continuing with the next one", e);
        }
    }

    private void deliver(MembershipOutput output) {
        output.datagrams().forEach(d -> send(d.destination(), d.content().toByteArray()));
        if (!output.memberChanges().isEmpty()) {
            members = membership.members();
            output.memberChanges().forEach(this::notifyMemberChange);
        }
        output.factUpdates().forEach(onFactUpdate);
    }

    private void notifyMemberChange(MemberChange change) {
        LOG.info(
                "member: {} {} at {}",
                change.member().host(),
                change.kind(),
                change.member().gossipEndpoint());
        onMemberChange.accept(change);
    }

    private void send(Endpoint to, byte[] content) {
        Channel current = channel;
        if (current == null) {
            return;
        }
        sentBytes.add(content.length);
        sentDatagrams.increment();
        InetSocketAddress address = new InetSocketAddress(to.address(), to.port());
        // A failure to send is treated like a lost datagram: the probes detect it.
        var unused = current.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(content), address));
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            byte[] content = ByteBufUtil.getBytes(datagram.content());
            receivedBytes.add(content.length);
            receivedDatagrams.increment();
            InetSocketAddress from = datagram.sender();
            if (from.getPort() > 0) {
                Endpoint sender = new Endpoint(from.getAddress().getHostAddress(), from.getPort());
                deliver(membership.handle(content, sender, clock.nowMs()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // For example an ICMP port-unreachable for an earlier datagram; the socket remains usable.
            LOG.debug("member: UDP socket reported an error and stays open: {}", cause.toString());
        }
    }
}
