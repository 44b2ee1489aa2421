package org.celerygw.gateway.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** Accepts clients on one address; used on the event loop only. */
public final class Listener {
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final int BACKLOG = 1_024;

    private final Clock clock;
    private final RequestHandler handler;
    private final Set<ClientChannel> channels = new LinkedHashSet<>();
    private @Nullable Channel server;
    private boolean stopping;
    private int maxBodyBytes = 4 << 20;

    private Listener(Clock clock, RequestHandler handler) {
        this.clock = clock;
        this.handler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param loop runs the connections
     * @param clock tells the time
     * @param ip the address
     * @param port the port; 0 for any free one
     * @param handler answers requests
     * @return the listener, once it listens; fails with code INVALID_ARGUMENT when the address cannot be had
     */
    public static Future<Listener> start(EventLoop loop, Clock clock, String ip, int port, RequestHandler handler) {
        Listener listener = new Listener(clock, handler);
        Promise<Listener> promise = Promise.promise();
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new StrictRequestDecoder(MAX_HEAD_BYTES),
                                        new HttpResponseEncoder(),
                                        new ClientChannel(listener));
                    }
                })
                .bind(ip, port)
                .addListener((ChannelFuture f) -> {
                    if (f.isSuccess()) {
                        listener.server = f.channel();
                        promise.complete(listener);
                    } else {
                        promise.fail(new GatewayException(
                                ErrorCode.INVALID_ARGUMENT,
                                "cannot listen on " + ip + ":" + port + ": "
                                        + f.cause().getMessage()));
                    }
                });
        return promise.future();
    }

    /**
     * Returns the port it listens on.
     *
     * @return the port; 0 when it does not listen
     */
    public int port() {
        return server != null && server.localAddress() instanceof InetSocketAddress a ? a.getPort() : 0;
    }

    /**
     * Sets the most bytes of a request's body.
     *
     * @param bytes the limit
     */
    public void maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
    }

    /** Asks clients to close: from now on every answer is the last on its connection. */
    public void stopping(boolean now) {
        stopping = now;
    }

    /** Closes connections on which nothing is under way, and accepts no new ones. */
    public void closeIdle() {
        if (server != null) {
            var unused = server.close();
        }
        List<ClientChannel> quiet = channels.stream().filter(c -> !c.busy()).toList();
        quiet.forEach(ClientChannel::close);
    }

    /**
     * Closes connections that are quiet, or slow to send a request, for too long.
     *
     * @param idleMs the longest time without a request
     * @param readMs the longest time in which a request must come in
     */
    public void sweep(long idleMs, long readMs) {
        List<ClientChannel> old = new ArrayList<>();
        channels.stream()
                .filter(c -> c.quietMs() > idleMs || c.readingMs() > readMs)
                .forEach(old::add);
        old.forEach(ClientChannel::close);
    }

    /**
     * Returns how many connections are open.
     *
     * @return a count
     */
    public int connections() {
        return channels.size();
    }

    /**
     * Returns how many requests are being read or answered.
     *
     * @return a count
     */
    public int busy() {
        return (int) channels.stream().filter(ClientChannel::busy).count();
    }

    boolean stopping() {
        return stopping;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    long nowMs() {
        return clock.nowMs();
    }

    RequestHandler handler() {
        return handler;
    }

    void opened(ClientChannel channel) {
        channels.add(channel);
    }

    void closed(ClientChannel channel) {
        channels.remove(channel);
    }
}
