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

/**
 * One TCP connection to or from a peer. After both sides have authenticated it carries heartbeats and the frames of
 * call streams. Used on one event loop only.
 */
final class Connection extends SimpleChannelInboundHandler<Frame> {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);

    private final PeerSettings settings;
    private final Clock clock;
    private final ConnectionCounters counters;
    private final Handshake handshake;
    private final boolean client;
    private final FrameListener listener;
    private @Nullable Channel channel;
    private @Nullable Proof localProof;
    private @Nullable Future<?> heartbeatTask;
    private boolean authenticated;
    private long handshakeStartMs;
    private long lastPongMs;
    private long lastHeartbeatMs;
    private long lastPingNumber;

    Connection(
            PeerSettings settings,
            Clock clock,
            ConnectionCounters counters,
            Handshake handshake,
            boolean client,
            FrameListener listener) {
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.handshake = handshake;
        this.client = client;
        this.listener = listener;
    }

    /** Receives the events of a connection, on its event loop. */
    interface FrameListener {
        /** Called once the peer has authenticated; frames may be sent from now on. */
        void onReady(Connection connection);

        /** Called for each frame of a call stream, and for GoAway. */
        void onFrame(Frame frame);

        /** Called when the send buffer has room again. */
        void onWritable();

        /** Called when the connection is closed, also if it never became ready. */
        void onClosed();
    }

    HostId peer() {
        return handshake.peer();
    }

    boolean isWritable() {
        return authenticated && channel != null && channel.isActive() && channel.isWritable();
    }

    void send(Frame.Builder frame) {
        if (channel != null) {
            // A failed write closes the channel, which ends every stream on the connection.
            var unused = channel.writeAndFlush(frame.build(), channel.voidPromise());
        }
    }

    void sendGoAway() {
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
        handshakeStartMs = clock.nowMs();
        lastHeartbeatMs = handshakeStartMs;
        heartbeatTask = context.channel()
                .eventLoop()
                .scheduleAtFixedRate(
                        this::checkHeartbeat, settings.heartbeatMs(), settings.heartbeatMs(), TimeUnit.MILLISECONDS);
        if (client) {
            send(Frame.newBuilder().setHello(handshake.localHello()));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        authenticated = false;
        if (heartbeatTask != null) {
            heartbeatTask.cancel(false);
        }
        listener.onClosed();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (isWritable()) {
            listener.onWritable();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            LOG.debug(
                    "peer: connection with {} failed; closing it",
                    context.channel().remoteAddress(),
                    cause);
        } else {
            reject(cause.toString());
        }
        var unused = context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case HELLO -> onHello(frame.getHello());
            case PROOF -> onProof(frame.getProof());
            case PING -> {
                if (authenticated) {
                    send(Frame.newBuilder()
                            .setPong(Pong.newBuilder().setNumber(frame.getPing().getNumber())));
                }
            }
            case PONG -> lastPongMs = clock.nowMs();
            case BODY_NOT_SET -> LOG.debug("peer: ignored a frame of unknown type");
            default -> {
                if (authenticated) {
                    listener.onFrame(frame);
                } else {
                    reject("received a call frame before authentication completed");
                }
            }
        }
    }

    private void onHello(Hello hello) {
        if (localProof != null) {
            reject("received a second Hello frame");
            return;
        }
        Proof proof = handshake.receiveHello(hello);
        localProof = proof;
        if (!client) {
            send(Frame.newBuilder().setHello(handshake.localHello()));
            send(Frame.newBuilder().setProof(proof));
        }
    }

    private void onProof(Proof proof) {
        if (localProof == null || authenticated || !handshake.verify(proof) || !peerSentHostId()) {
            reject("received an unexpected or invalid Proof frame, or no valid host id");
            return;
        }
        if (client) {
            send(Frame.newBuilder().setProof(localProof));
        }
        authenticated = true;
        lastPongMs = clock.nowMs();
        counters.authenticatedConnections.increment();
        listener.onReady(this);
    }

    private boolean peerSentHostId() {
        try {
            return !handshake.peer().value().isEmpty();
        } catch (GatewayException e) {
            return false;
        }
    }

    private void checkHeartbeat() {
        long nowMs = clock.nowMs();
        boolean processPaused = nowMs - lastHeartbeatMs > 2 * settings.heartbeatMs();
        lastHeartbeatMs = nowMs;
        if (processPaused) {
            // This process was itself paused, so missing pongs do not yet show that the peer is silent.
            lastPongMs = nowMs;
            handshakeStartMs = nowMs;
        }
        if (!authenticated && nowMs - handshakeStartMs >= settings.connectTimeoutMs()) {
            reject("peer did not authenticate within the connect time-out");
        } else if (authenticated && nowMs - lastPongMs >= settings.silenceMs()) {
            counters.heartbeatTimeouts.increment();
            LOG.info("peer: no pong from {} for {} ms; closing the connection", peer(), nowMs - lastPongMs);
            close();
        } else if (authenticated) {
            send(Frame.newBuilder().setPing(Ping.newBuilder().setNumber(++lastPingNumber)));
        }
    }

    private void reject(String reason) {
        counters.rejectedConnections.increment();
        LOG.warn("peer: closing the connection with {}: {}", channel == null ? "?" : channel.remoteAddress(), reason);
        close();
    }
}
