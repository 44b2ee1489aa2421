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
 * Sends and receives calls between daemons over TCP, with one connection for each peer and direction. Callbacks run
 * on Netty threads, which they must not block; methods may be called from any thread.
 *
 * <pre>{@code
 * PeerLinks links = new PeerLinks(PeerSettings.DEFAULTS, keys, self, release, clock);
 * links.listen(address, (method, request, responder) -> responder.complete(reply(method, request)));
 * PeerCall call = links.call(peer, "call", request, deadlineMs, listener);
 * }</pre>
 */
public final class PeerLinks implements AutoCloseable {
    private final PeerSettings settings;
    private volatile MembershipKeys keys;
    private final HostId self;
    private final String release;
    private final Clock clock;
    private final EventLoopGroup eventLoops;
    private final ConnectionCounters counters = new ConnectionCounters();
    private final AtomicInteger openStreams = new AtomicInteger();
    private final ConcurrentHashMap<InetSocketAddress, ClientLink> clientLinks = new ConcurrentHashMap<>();
    private final Set<ServerLink> serverLinks = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Channel serverChannel;
    private volatile boolean stopping;

    /**
     * Creates the links without opening a connection.
     *
     * @param settings limits and time-outs of the connections
     * @param keys shared keys that authenticate the daemons to each other
     * @param self host id of this daemon
     * @param release software release of this daemon, sent in its Hello
     * @param clock clock of deadlines and heartbeats
     */
    public PeerLinks(PeerSettings settings, MembershipKeys keys, HostId self, String release, Clock clock) {
        this.settings = settings;
        this.keys = keys;
        this.self = self;
        this.release = release;
        this.clock = clock;
        this.eventLoops = new MultiThreadIoEventLoopGroup(
                settings.threads(), new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
    }

    /**
     * Binds a port and accepts connections of peers.
     *
     * @param address address to bind; port 0 selects a free port
     * @param handler handles the incoming calls
     * @return the bound address; completes exceptionally if binding fails
     */
    public CompletableFuture<InetSocketAddress> listen(InetSocketAddress address, PeerCallHandler handler) {
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        acceptConnection(channel, handler);
                    }
                });
        bootstrap.bind(address).addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                serverChannel = future.channel();
                bound.complete((InetSocketAddress) future.channel().localAddress());
            } else {
                bound.completeExceptionally(future.cause());
            }
        });
        return bound;
    }

    /**
     * Sends a call to a peer, over the open connection or a new one.
     *
     * @param peer address that the peer listens on
     * @param method name of the method to call
     * @param request encoded request of that method
     * @param deadlineMs time at which the call fails unless it has ended, in milliseconds by the clock of these links
     * @param listener receives the response
     * @return the call, which can be cancelled or paused
     */
    public PeerCall call(
            InetSocketAddress peer, String method, ByteString request, long deadlineMs, PeerCallListener listener) {
        return usableLink(peer).submit(method, request, deadlineMs, listener);
    }

    /**
     * Replaces the keys for connections opened from now on; open connections are not affected.
     *
     * @param keys the new keys
     */
    public void rotateKeys(MembershipKeys keys) {
        this.keys = keys;
    }

    /**
     * Rejects new incoming calls with STOPPING and NOT_RUN and sends GoAway to all connected peers. Calls in flight
     * continue.
     */
    public void stopAccepting() {
        stopping = true;
        serverLinks.forEach(ServerLink::sendGoAway);
    }

    /**
     * Returns the number of incoming calls in flight.
     *
     * @return number of open streams on all incoming connections
     */
    public int openStreams() {
        return openStreams.get();
    }

    /**
     * Returns a snapshot of the event counters of all connections.
     *
     * @return event counts since these links were created
     */
    public PeerCounters counters() {
        return counters.snapshot();
    }

    /** Closes every connection and stops the event loops. */
    @Override
    public void close() {
        stopping = true;
        Channel openChannel = serverChannel;
        if (openChannel != null) {
            var unused = openChannel.close();
        }
        clientLinks.values().forEach(ClientLink::close);
        eventLoops.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private ClientLink usableLink(InetSocketAddress peer) {
        ClientLink link = clientLinks.get(peer);
        if (link != null && link.isUsable()) {
            return link;
        }
        return clientLinks.compute(
                peer, (address, current) -> current != null && current.isUsable() ? current : connect(address));
    }

    private ClientLink connect(InetSocketAddress peer) {
        EventLoop eventLoop = eventLoops.next();
        ClientLink link = new ClientLink(settings, clock, counters, eventLoop);
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs())
                .option(ChannelOption.TCP_NODELAY, true)
                .remoteAddress(peer)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initPipeline(channel, true, link);
                    }
                });
        link.connect(bootstrap);
        return link;
    }

    private void acceptConnection(Channel channel, PeerCallHandler handler) {
        ServerLink link =
                new ServerLink(settings, clock, counters, channel.eventLoop(), handler, () -> stopping, openStreams);
        serverLinks.add(link);
        channel.closeFuture().addListener(future -> serverLinks.remove(link));
        initPipeline(channel, false, link);
    }

    private void initPipeline(Channel channel, boolean client, Connection.FrameListener listener) {
        Handshake handshake = new Handshake(keys, client, self, release);
        channel.pipeline()
                .addLast(new FrameCodec(settings.maxFrameBytes()))
                .addLast(new Connection(settings, clock, counters, handshake, client, listener));
    }
}
