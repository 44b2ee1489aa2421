package org.celerygw.standin.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP proxy that can drop the data of its open connections, per direction, while new connections work normally. */
public final class TcpFaultProxy implements AutoCloseable {
    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Set<Channel> droppedToServer = ConcurrentHashMap.newKeySet();
    private final Set<Channel> droppedToClient = ConcurrentHashMap.newKeySet();
    private final Set<Channel> clients = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connectionCount = new AtomicInteger();
    private final Channel serverChannel;

    /**
     * Starts a proxy on loopback.
     *
     * @param target the address to which connections are forwarded
     */
    public TcpFaultProxy(InetSocketAddress target) {
        serverChannel = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        connectionCount.incrementAndGet();
                        clients.add(client);
                        connectToTarget(client, target);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the address that the proxy listens on.
     *
     * @return a loopback address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /**
     * Returns the number of connections accepted since the start.
     *
     * @return the number of open and closed connections
     */
    public int connectionCount() {
        return connectionCount.get();
    }

    /**
     * Drops all further data on the connections accepted so far, without closing them.
     *
     * @param toServer whether to drop data sent by clients
     * @param toClient whether to drop data sent by the target
     */
    public void dropTraffic(boolean toServer, boolean toClient) {
        if (toServer) {
            droppedToServer.addAll(clients);
        }
        if (toClient) {
            droppedToClient.addAll(clients);
        }
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void connectToTarget(Channel client, InetSocketAddress target) {
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel server) {
                        server.pipeline().addLast(new Relay(client, client, droppedToClient));
                        client.pipeline().addLast(new Relay(server, client, droppedToServer));
                    }
                })
                .connect(target)
                .addListener(f -> client.config().setAutoRead(true));
    }

    private static final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel destination;
        private final Channel client;
        private final Set<Channel> dropped;

        Relay(Channel destination, Channel client, Set<Channel> dropped) {
            this.destination = destination;
            this.client = client;
            this.dropped = dropped;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (dropped.contains(client)) {
                ReferenceCountUtil.release(message);
                return;
            }
            var unused = destination.writeAndFlush((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!dropped.contains(client)) {
                var unused = destination.close();
            }
        }
    }
}
