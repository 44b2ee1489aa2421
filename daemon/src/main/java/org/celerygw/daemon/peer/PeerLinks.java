package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Calls between daemons over TCP, one connection for each peer and direction. Callbacks come on Netty threads, which
 * they must not block; methods may be used from any thread.
 *
 * <pre>{@code
 * PeerLinks links = new PeerLinks(PeerSettings.DEFAULTS, keys, self, release, clock);
 * links.listen(address, (method, request, responder) -> responder.end(answer(method, request)));
 * PeerCall call = links.call(peer, "call", request, deadlineMs, listener);
 * }</pre>
 */
public final class PeerLinks implements AutoCloseable {
    private final PeerSettings settings;
    private volatile MembershipKeys keys;
    private final HostId self;
    private final String release;
    private final Clock clock;
    private final EventLoopGroup loops;
    private final Counters counters = new Counters();
    private final AtomicInteger openStreams = new AtomicInteger();
    private final ConcurrentHashMap<InetSocketAddress, ClientLink> clients = new ConcurrentHashMap<>();
    private final Set<ServerLink> servers = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Channel listening;
    private volatile boolean stopping;

    /**
     * Makes links without connections.
     *
     * @param settings the limits
     * @param keys the keys that daemons share
     * @param self this daemon
     * @param release its release
     * @param clock tells the time
     */
    public PeerLinks(PeerSettings settings, MembershipKeys keys, HostId self, String release, Clock clock) {
        this.settings = settings;
        this.keys = keys;
        this.self = self;
        this.release = release;
        this.clock = clock;
        this.loops = new MultiThreadIoEventLoopGroup(
                settings.threads(), new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    }

    /**
     * Begins to serve peers.
     *
     * @param address where to listen; port 0 takes a free one
     * @param handler serves the calls
     * @return the address in use, or the failure to bind
     */
    public CompletableFuture<InetSocketAddress> listen(InetSocketAddress address, Handler handler) {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        serve(channel, handler);
                    }
                });
        bootstrap.bind(address).addListener((ChannelFuture f) -> {
            if (f.isSuccess()) {
                listening = f.channel();
                bound.complete((InetSocketAddress) f.channel().localAddress());
            } else {
                bound.completeExceptionally(f.cause());
            }
        });
        return bound;
    }

    /**
     * Calls a peer, over the open connection or a new one.
     *
     * @param peer its address
     * @param method the name of the method
     * @param request the request
     * @param deadlineMs when the call fails if it has not ended
     * @param listener follows the call
     * @return the call, to cancel or pause it
     */
    public PeerCall call(
            InetSocketAddress peer, String method, ByteString request, long deadlineMs, Listener listener) {
        return link(peer).submit(method, request, deadlineMs, listener);
    }

    /**
     * Changes the keys for connections opened from now on.
     *
     * @param keys the keys
     */
    public void rotate(MembershipKeys keys) {
        this.keys = keys;
    }

    /** Refuses new calls of peers with STOPPING and NOT_RUN, and tells peers to go elsewhere. Calls under way go on. */
    public void stopAccepting() {
        stopping = true;
        servers.forEach(ServerLink::goAway);
    }

    /**
     * Returns how many calls of peers are under way here.
     *
     * @return the count
     */
    public int openStreams() {
        return openStreams.get();
    }

    /**
     * Returns what happened so far.
     *
     * @return the counters
     */
    public PeerCounters counters() {
        return counters.snapshot();
    }

    /** Closes every connection. */
    @Override
    public void close() {
        stopping = true;
        Channel open = listening;
        if (open != null) {
            var unused = open.close();
        }
        clients.values().forEach(ClientLink::close);
        loops.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private ClientLink link(InetSocketAddress peer) {
        ClientLink link = clients.get(peer);
        if (link != null && link.usable()) {
            return link;
        }
        return clients.compute(peer, (p, old) -> old != null && old.usable() ? old : connect(p));
    }

    private ClientLink connect(InetSocketAddress peer) {
        EventLoop loop = loops.next();
        ClientLink link = new ClientLink(settings, clock, counters, loop);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs())
                .option(ChannelOption.TCP_NODELAY, true)
                .remoteAddress(peer)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        attach(channel, true, link);
                    }
                });
        link.connect(bootstrap);
        return link;
    }

    private void serve(Channel channel, Handler handler) {
        ServerLink link =
                new ServerLink(settings, clock, counters, channel.eventLoop(), handler, () -> stopping, openStreams);
        servers.add(link);
        channel.closeFuture().addListener(f -> servers.remove(link));
        attach(channel, false, link);
    }

    private void attach(Channel channel, boolean client, Connection.Sink sink) {
        Handshake handshake = new Handshake(keys, client, self, release);
        channel.pipeline()
                .addLast(new FrameCodec(settings.maxFrameBytes()))
                .addLast(new Connection(settings, clock, counters, handshake, client, sink));
    }
}
