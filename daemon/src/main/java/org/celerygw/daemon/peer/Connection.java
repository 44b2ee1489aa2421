package org.celerygw.daemon.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.celerygw.api.gen.peer.Frame;
import org.celerygw.api.gen.peer.GoAway;
import org.celerygw.api.gen.peer.Hello;
import org.celerygw.api.gen.peer.Ping;
import org.celerygw.api.gen.peer.Pong;
import org.celerygw.api.gen.peer.Proof;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.id.HostId;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One TCP connection, either way: proofs first, then heartbeats and the frames of streams. Lives on one event loop. */
final class Connection extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);

    private final PeerSettings settings;
    private final Clock clock;
    private final Counters counters;
    private final Handshake handshake;
    private final boolean client;
    private final Sink sink;
    private @Nullable Channel channel;
    private @Nullable Proof ourProof;
    private @Nullable Future<?> heartbeat;
    private boolean ready;
    private long startedMs;
    private long lastPongMs;
    private long lastBeatMs;
    private long pings;

    Connection(PeerSettings settings, Clock clock, Counters counters, Handshake handshake, boolean client, Sink sink) {
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.handshake = handshake;
        this.client = client;
        this.sink = sink;
    }

    /** Takes what a connection yields, on its event loop. */
    interface Sink {
        void ready(Connection connection);

        void frame(Frame frame);

        void writable();

        void closed();
    }

    HostId peer() {
        return handshake.peer();
    }

    boolean writable() {
        return ready && channel != null && channel.isActive() && channel.isWritable();
    }

    void send(Frame.Builder frame) {
        if (channel != null) {
            // A failed write closes the channel, which ends every stream on it.
            var unused = channel.writeAndFlush(frame.build(), channel.voidPromise());
        }
    }

    void goAway() {
        send(Frame.newBuilder().setGoAway(GoAway.getDefaultInstance()));
    }

    void close() {
        if (channel != null) {
            var unused = channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        startedMs = clock.nowMs();
        lastBeatMs = startedMs;
        heartbeat = context.channel()
                .eventLoop()
                .scheduleAtFixedRate(this::beat, settings.heartbeatMs(), settings.heartbeatMs(), TimeUnit.MILLISECONDS);
        if (client) {
            send(Frame.newBuilder().setHello(handshake.hello()));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        ready = false;
        if (heartbeat != null) {
            heartbeat.cancel(false);
        }
        sink.closed();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (writable()) {
            sink.writable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug("peer: connection to {} broke", context.channel().remoteAddress(), cause);
        } else {
            reject(cause.toString());
        }
        var unused = context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> greeted(frame.getHello());
            case PROOF -> proved(frame.getProof());
            case PING -> {
                if (ready) {
                    send(Frame.newBuilder()
                            .setPong(Pong.newBuilder().setNumber(frame.getPing().getNumber())));
                }
            }
            case PONG -> lastPongMs = clock.nowMs();
            case BODY_NOT_SET -> LOG.debug("peer: unknown frame ignored");
            default -> {
                if (ready) {
                    sink.frame(frame);
                } else {
                    reject("frame before proof");
                }
            }
        }
    }

    private void greeted(Hello hello) {
        if (ourProof != null) {
            reject("second greeting");
            return;
        }
        Proof proof = handshake.greeted(hello);
        ourProof = proof;
        if (!client) {
            send(Frame.newBuilder().setHello(handshake.hello()));
            send(Frame.newBuilder().setProof(proof));
        }
    }

    private void proved(Proof proof) {
        if (ourProof == null || ready || !handshake.verify(proof) || !named()) {
            reject("no proof of an accepted key");
            return;
        }
        if (client) {
            send(Frame.newBuilder().setProof(ourProof));
        }
        ready = true;
        lastPongMs = clock.nowMs();
        counters.connected.increment();
        sink.ready(this);
    }

    private boolean named() {
        try {
            return !handshake.peer().value().isEmpty();
        } catch (GatewayException e) {
            return false;
        }
    }

    private void beat() {
        long nowMs = clock.nowMs();
        boolean paused = nowMs - lastBeatMs > 2 * settings.heartbeatMs();
        lastBeatMs = nowMs;
        if (paused) {
            // This process itself stood still: the peer's silence says nothing yet.
            lastPongMs = nowMs;
            startedMs = nowMs;
        }
        if (!ready && nowMs - startedMs >= settings.connectTimeoutMs()) {
            reject("no proof in time");
        } else if (ready && nowMs - lastPongMs >= settings.silenceMs()) {
            counters.silent.increment();
            LOG.info("peer: connection with {} dropped, silent for {} ms", peer(), nowMs - lastPongMs);
            close();
        } else if (ready) {
            send(Frame.newBuilder().setPing(Ping.newBuilder().setNumber(++pings)));
        }
    }

    private void reject(String reason) {
        counters.rejected.increment();
        LOG.warn("peer: connection with {} dropped: {}", channel == null ? "?" : channel.remoteAddress(), reason);
        close();
    }
}
