package org.celerygw.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Predicate;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** Connections to one address, one request at a time on each; used on the event loop only. */
public final class Origin {
    private static final int MAX_HEAD_BYTES = 32_768;

    private final Bootstrap bootstrap;
    private final Clock clock;
    private final Limits limits;
    private final Deque<OriginChannel> idle = new ArrayDeque<>();
    private boolean closed;
    private long opened;

    /**
     * How connections are kept.
     *
     * @param connectTimeoutMs how long a new connection may take
     * @param maxIdleMs how long a connection without a request is kept
     * @param maxIdle how many such connections are kept
     */
    public record Limits(int connectTimeoutMs, long maxIdleMs, int maxIdle) {}

    /** A request under way. */
    public interface Sent {
        /** Gives the request up and closes its connection; the sink hears nothing more. */
        void cancel();
    }

    /**
     * Makes an origin without connections.
     *
     * @param loop runs the connections
     * @param clock tells the time
     * @param ip the address
     * @param port the port
     * @param limits how connections are kept
     */
    public Origin(EventLoop loop, Clock clock, String ip, int port, Limits limits) {
        this.clock = clock;
        this.limits = limits;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .remoteAddress(ip, port)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs());
    }

    /**
     * Sends a request over a kept connection or a new one.
     *
     * @param request the request
     * @param own tells whether an answer's head belongs to this request; other answers are passed over
     * @param maxIdleMs only connections that were idle no longer than this are used again
     * @param sink hears the answer
     * @return the request under way
     */
    public Sent send(Outgoing request, Predicate<HttpResponse> own, long maxIdleMs, AnswerSink sink) {
        OriginChannel kept = takeIdle(maxIdleMs);
        if (kept != null) {
            return kept.start(request, own, sink);
        }
        OriginChannel fresh = new OriginChannel(this);
        opened++;
        bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxHeaderSize(MAX_HEAD_BYTES)
                                .setMaxChunkSize(65_536);
                        channel.pipeline().addLast(new HttpRequestEncoder(), new HttpResponseDecoder(config), fresh);
                    }
                })
                .connect()
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        fresh.connectFailed();
                    }
                });
        return fresh.start(request, own, sink);
    }

    /**
     * Returns how many connections were opened so far.
     *
     * @return a count
     */
    public long opened() {
        return opened;
    }

    /** Closes connections that were idle for too long; to be called about once a second. */
    public void sweep() {
        Iterator<OriginChannel> all = idle.iterator();
        while (all.hasNext()) {
            OriginChannel channel = all.next();
            if (channel.idleMs(clock.nowMs()) > channel.keepMs(limits.maxIdleMs())) {
                all.remove();
                channel.close();
            }
        }
    }

    /** Closes idle connections: one of their kind went silent, and nothing tells whether these have too. */
    public void distrust() {
        idle.forEach(OriginChannel::close);
        idle.clear();
    }

    /** Closes idle connections now and the others after their answer. */
    public void close() {
        closed = true;
        distrust();
    }

    private @Nullable OriginChannel takeIdle(long maxIdleMs) {
        while (!idle.isEmpty()) {
            OriginChannel channel = idle.pollLast();
            long limitMs = Math.min(maxIdleMs, channel.keepMs(limits.maxIdleMs()));
            if (channel.isOpen() && channel.idleMs(clock.nowMs()) <= limitMs) {
                return channel;
            }
            channel.close();
        }
        return null;
    }

    void giveBack(OriginChannel channel) {
        if (closed || idle.size() >= limits.maxIdle()) {
            channel.close();
            return;
        }
        channel.idleSince(clock.nowMs());
        idle.addLast(channel);
    }

    void lost(OriginChannel channel) {
        idle.remove(channel);
    }
}
