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
import org.celerygw.core.membership.Change;
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.LoadSummary;
import org.celerygw.core.membership.Member;
import org.celerygw.core.membership.Membership;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.News;
import org.celerygw.core.membership.Output;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the membership of this daemon over UDP, on one Netty thread. Methods may be used from any thread; the
 * listeners are called on the Netty thread, which they must not block.
 *
 * <pre>{@code
 * Gossip gossip = new Gossip(membership, clock, this::memberChanged, this::factHeard);
 * gossip.start(new InetSocketAddress(address, port)).get();
 * gossip.seed(hostList);
 * List<Member> members = gossip.members();
 * }</pre>
 */
public final class Gossip implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Gossip.class);
    private static final long TICK_MS = 50;
    private static final int SNAPSHOT_TICKS = 20;
    /** Longer than any datagram that is taken, so that an oversized one is seen as such and not cut. */
    private static final int RECEIVE_BYTES = 4096;

    private final Membership membership;
    private final Clock clock;
    private final Consumer<Change> onChange;
    private final Consumer<News> onNews;
    private final EventLoopGroup loop =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("gossip", true), NioIoHandler.newFactory());
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentDatagrams = new LongAdder();
    private final LongAdder receivedDatagrams = new LongAdder();
    private volatile List<Member> members;
    private long ticks;
    private volatile @Nullable Channel channel;

    /**
     * Makes the runner of a membership, which nobody else may use from now on.
     *
     * @param membership the membership
     * @param clock tells the time
     * @param onChange told of changes in the list of members
     * @param onNews told of newer facts
     */
    public Gossip(Membership membership, Clock clock, Consumer<Change> onChange, Consumer<News> onNews) {
        this.membership = membership;
        this.clock = clock;
        this.onChange = onChange;
        this.onNews = onNews;
        this.members = membership.members();
    }

    /**
     * Opens the socket and begins.
     *
     * @param address where to listen; its port is the one in this daemon's member record
     * @return the address in use, or the failure to bind
     */
    public CompletableFuture<InetSocketAddress> start(InetSocketAddress address) {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BYTES))
                .handler(new Receiver())
                .bind(address)
                .addListener((ChannelFuture f) -> {
                    if (!f.isSuccess()) {
                        bound.completeExceptionally(f.cause());
                        return;
                    }
                    channel = f.channel();
                    var unused = loop.scheduleAtFixedRate(this::tick, 0, TICK_MS, TimeUnit.MILLISECONDS);
                    bound.complete((InetSocketAddress) f.channel().localAddress());
                });
        return bound;
    }

    /**
     * Returns the members that are alive or suspect, this one included.
     *
     * @return a snapshot, in the order of their host ids
     */
    public List<Member> members() {
        return members;
    }

    /**
     * Takes the platform's list of hosts.
     *
     * @param list the UDP endpoints of the listed daemons
     */
    public void seed(Collection<Endpoint> list) {
        List<Endpoint> copy = List.copyOf(list);
        run(m -> m.seed(copy));
    }

    /**
     * Changes the keys.
     *
     * @param keys the keys from now on
     */
    public void rotate(MembershipKeys keys) {
        run(m -> m.rotate(keys));
    }

    /** Tells the fleet that this daemon is stopping but still answers. */
    public void markStopping() {
        run(Membership::markStopping);
    }

    /**
     * Announces an accepted version of the configuration.
     *
     * @param version the version
     */
    public void announceConfig(long version) {
        run(m -> m.announceConfig(version));
    }

    /**
     * States which configuration is in force here.
     *
     * @param version its version
     */
    public void configInForce(long version) {
        run(m -> m.configInForce(version));
    }

    /**
     * Spreads that a backend server is leaving.
     *
     * @param id the backend server
     * @param version orders its marks
     */
    public void markLeaving(BackendServerId id, long version) {
        run(m -> m.markLeaving(id, version));
    }

    /**
     * Spreads that a backend server stays after all.
     *
     * @param id the backend server
     * @param version higher than that of the mark which it undoes
     */
    public void markStaying(BackendServerId id, long version) {
        run(m -> m.markStaying(id, version));
    }

    /**
     * Spreads an engine's load.
     *
     * @param id the engine
     * @param load its load
     */
    public void reportLoad(BackendServerId id, LoadSummary load) {
        run(m -> m.reportLoad(id, load));
    }

    /**
     * Reads from the membership on its own thread.
     *
     * @param read what to read
     * @param <T> the type of the result
     * @return the result, later
     */
    public <T> CompletableFuture<T> ask(Function<Membership, T> read) {
        return CompletableFuture.supplyAsync(() -> read.apply(membership), loop);
    }

    /**
     * Returns an engine's newest known load.
     *
     * @param id the engine
     * @return its load, later; nothing when none was heard lately
     */
    public CompletableFuture<Optional<LoadSummary>> load(BackendServerId id) {
        return ask(m -> m.load(id));
    }

    /**
     * Returns what was sent and received so far.
     *
     * @return the counters, later
     */
    public CompletableFuture<GossipCounters> counters() {
        return ask(m -> new GossipCounters(
                sentBytes.sum(), receivedBytes.sum(), sentDatagrams.sum(), receivedDatagrams.sum(), m.dropped()));
    }

    /**
     * Says farewell to the fleet; the socket stays open until {@link #close()}.
     *
     * @return done when the farewell is sent
     */
    public CompletableFuture<Void> leave() {
        return CompletableFuture.runAsync(() -> take(membership.leave(clock.nowMs())), loop);
    }

    /** Closes the socket, without a farewell. */
    @Override
    public void close() {
        loop.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void run(Consumer<Membership> action) {
        loop.execute(() -> {
            action.accept(membership);
            members = membership.members();
        });
    }

    private void tick() {
        try {
            take(membership.tick(clock.nowMs()));
            if (++ticks % SNAPSHOT_TICKS == 0) {
                // Records also change without an event, such as the configuration in force at a member.
                members = membership.members();
            }
        } catch (RuntimeException e) {
            // An exception would end the timer, and with it this daemon's membership.
            LOG.error("member: tick failed", e);
        }
    }

    private void take(Output output) {
        output.datagrams().forEach(d -> send(d.to(), d.content().toByteArray()));
        if (!output.changes().isEmpty()) {
            members = membership.members();
            output.changes().forEach(this::tell);
        }
        output.news().forEach(onNews);
    }

    private void tell(Change change) {
        LOG.info(
                "member: {} {} at {}",
                change.member().host(),
                change.kind(),
                change.member().gossip());
        onChange.accept(change);
    }

    private void send(Endpoint to, byte[] content) {
        Channel open = channel;
        if (open == null) {
            return;
        }
        sentBytes.add(content.length);
        sentDatagrams.increment();
        InetSocketAddress address = new InetSocketAddress(to.address(), to.port());
        // A datagram that cannot be sent is a lost one; the probes notice.
        var unused = open.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(content), address));
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
                take(membership.handle(content, sender, clock.nowMs()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // Such as an unreachable port reported for an earlier datagram; the socket stays usable.
            LOG.debug("member: socket reports {}", cause.toString());
        }
    }
}
