package org.celerygw.daemon.peer;

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

/** A TCP proxy that swallows what passes on chosen connections, each way by itself, while new ones work. */
final class FaultProxy implements AutoCloseable {
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Set<Channel> muteToServer = ConcurrentHashMap.newKeySet();
    private final Set<Channel> muteToClient = ConcurrentHashMap.newKeySet();
    private final Set<Channel> clients = ConcurrentHashMap.newKeySet();
    private final AtomicInteger connections = new AtomicInteger();
    private final Channel listening;

    FaultProxy(InetSocketAddress target) {
        listening = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        connections.incrementAndGet();
                        clients.add(client);
                        open(client, target);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    int connections() {
        return connections.get();
    }

    /** Swallows everything on the connections open now, in the chosen directions; they stay open. */
    void silence(boolean toServer, boolean toClient) {
        if (toServer) {
            muteToServer.addAll(clients);
        }
        if (toClient) {
            muteToClient.addAll(clients);
        }
    }

    @Override
    public void close() {
        loops.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private void open(Channel client, InetSocketAddress target) {
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel server) {
                        server.pipeline().addLast(new Pipe(client, client, muteToClient));
                        client.pipeline().addLast(new Pipe(server, client, muteToServer));
                    }
                })
                .connect(target)
                .addListener(f -> client.config().setAutoRead(true));
    }

    private static final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel to;
        private final Channel client;
        private final Set<Channel> muted;

        Pipe(Channel to, Channel client, Set<Channel> muted) {
            this.to = to;
            this.client = client;
            this.muted = muted;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (muted.contains(client)) {
                ReferenceCountUtil.release(message);
                return;
            }
            var unused = to.writeAndFlush((ByteBuf) message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!muted.contains(client)) {
                var unused = to.close();
            }
        }
    }
}
