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
import org.celerygw.core.limits.ByteQuota;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** Accepts HTTP/1.1 connections on one address. Not thread-safe: used on the event loop only. */
public final class HttpListener {
    private static final int MAX_HEAD_BYTES = 16_384;
    private static final int BACKLOG = 1_024;
    private static final long MAX_BODY_BYTES_IN_FLIGHT = 16L << 20;

    private final Clock clock;
    private final RequestHandler handler;
    private final Set<ClientChannel> connections = new LinkedHashSet<>();
    private @Nullable Channel serverChannel;
    private final ByteQuota bodyBytes = new ByteQuota(MAX_BODY_BYTES_IN_FLIGHT);
    private boolean stopping;
    private int maxBodyBytes = 4 << 20;

    private HttpListener(Clock clock, RequestHandler handler) {
        this.clock = clock;
        this.handler = handler;
    }

    /**
     * Starts to listen.
     *
     * @param loop the event loop on which the connections run
     * @param clock the clock by which idle and read times are measured
     * @param ip the IP address to bind
     * @param port the port to bind; 0 for any free one
     * @param handler called with each complete request
     * @return the listener once it is bound; fails with code INVALID_ARGUMENT when the address cannot be bound
     */
    public static Future<HttpListener> start(EventLoop loop, Clock clock, String ip, int port, RequestHandler handler) {
        HttpListener listener = new HttpListener(clock, handler);
        Promise<HttpListener> promise = Promise.promise();
        new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, BoundedReads.SOCKET_BUFFER_BYTES)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, BoundedReads.allocator())
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
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        listener.serverChannel = bound.channel();
                        promise.complete(listener);
                    } else {
                        promise.fail(new GatewayException(
                                ErrorCode.INVALID_ARGUMENT,
                                "cannot listen on " + ip + ":" + port + ": "
                                        + bound.cause().getMessage()));
                    }
                });
        return promise.future();
    }

    /**
     * Returns the port on which this listener accepts connections.
     *
     * @return the bound port; 0 when it is not bound
     */
    public int port() {
        return serverChannel != null && serverChannel.localAddress() instanceof InetSocketAddress a ? a.getPort() : 0;
    }

    /**
     * Sets the maximum size of a request body; a larger one is answered with status 413.
     *
     * @param bytes the limit in bytes
     */
    public void maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
    }

    /**
     * Sets whether connections close after a response, as during a graceful stop.
     *
     * @param value true to end each connection after the last request that was received on it; responses that begin from
     *     now on say so with {@code Connection: close}
     */
    public void stopping(boolean value) {
        stopping = value;
    }

    /** Accepts no more connections; open ones go on. */
    public void stopAccepting() {
        if (serverChannel != null) {
            var unused = serverChannel.close();
        }
    }

    /**
     * Closes idle connections, once their last response is sent.
     *
     * @param minIdleMs how long a connection must have been without a request, in ms
     */
    public void closeIdle(long minIdleMs) {
        List<ClientChannel> idle = connections.stream()
                .filter(c -> !c.isBusy() && c.idleMs() >= minIdleMs)
                .toList();
        idle.forEach(ClientChannel::closeWhenIdle);
    }

    /**
     * Closes connections that have been idle, or receiving a request, for too long.
     *
     * @param maxIdleMs the maximum time without a request, in ms
     * @param maxReadMs the maximum time from the head of a request to its end, in ms
     */
    public void sweep(long maxIdleMs, long maxReadMs) {
        List<ClientChannel> expired = new ArrayList<>();
        connections.stream()
                .filter(c -> c.idleMs() > maxIdleMs || c.readingMs() > maxReadMs)
                .forEach(expired::add);
        expired.forEach(ClientChannel::close);
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number of idle and busy connections
     */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Returns how many connections have a request in progress.
     *
     * @return the number of connections on which a request is being received or answered
     */
    public int busyConnections() {
        return (int) connections.stream().filter(ClientChannel::isBusy).count();
    }

    boolean stopping() {
        return stopping;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** Returns the quota of what clients have sent of large bodies. */
    ByteQuota bodyBytes() {
        return bodyBytes;
    }

    long nowMs() {
        return clock.nowMs();
    }

    RequestHandler handler() {
        return handler;
    }

    void addConnection(ClientChannel channel) {
        connections.add(channel);
    }

    void removeConnection(ClientChannel channel) {
        connections.remove(channel);
    }
}
