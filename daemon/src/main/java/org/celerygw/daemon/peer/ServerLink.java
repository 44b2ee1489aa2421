package org.celerygw.daemon.peer;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.celerygw.api.gen.peer.End;
import org.celerygw.api.gen.peer.Frame;
import org.celerygw.api.gen.peer.Open;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The incoming calls of one peer over one connection. Runs on the connection's event loop. */
final class ServerLink implements Connection.FrameListener {
    private static final Logger LOG = LoggerFactory.getLogger(ServerLink.class);

    private final PeerSettings settings;
    private final Clock clock;
    private final ConnectionCounters counters;
    private final EventLoop eventLoop;
    private final PeerCallHandler handler;
    private final BooleanSupplier stopping;
    private final AtomicInteger openStreams;
    private final Map<Long, PeerResponder> respondersByStream = new HashMap<>();
    private @Nullable Connection connection;
    private long highestStreamId;

    ServerLink(
            PeerSettings settings,
            Clock clock,
            ConnectionCounters counters,
            EventLoop eventLoop,
            PeerCallHandler handler,
            BooleanSupplier stopping,
            AtomicInteger openStreams) {
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.eventLoop = eventLoop;
        this.handler = handler;
        this.stopping = stopping;
        this.openStreams = openStreams;
    }

    @Override
    public void onReady(Connection authenticated) {
        connection = authenticated;
        if (stopping.getAsBoolean()) {
            authenticated.sendGoAway();
        }
    }

    @Override
    public void onFrame(Frame frame) {
        PeerResponder responder = respondersByStream.get(frame.getStream());
        switch (frame.getBodyCase()) {
            case OPEN -> onOpen(frame.getStream(), frame.getOpen());
            case CANCEL -> {
                if (responder == null) {
                    counters.strayFrames.increment();
                    return;
                }
                removeStream(frame.getStream());
                responder.abort();
            }
            case CREDIT -> {
                if (responder != null) {
                    responder.addCredit(frame.getCredit().getBytes());
                }
            }
            default -> counters.strayFrames.increment();
        }
    }

    @Override
    public void onWritable() {
        List.copyOf(respondersByStream.values()).forEach(PeerResponder::sendQueuedChunks);
    }

    @Override
    public void onClosed() {
        List<PeerResponder> openResponders = List.copyOf(respondersByStream.values());
        openStreams.addAndGet(-respondersByStream.size());
        respondersByStream.clear();
        openResponders.forEach(PeerResponder::abort);
    }

    /** Notifies the peer that this daemon accepts no new calls. */
    void sendGoAway() {
        eventLoop.execute(() -> {
            if (connection != null) {
                connection.sendGoAway();
            }
        });
    }

    boolean isConnectionWritable() {
        return connection != null && connection.isWritable();
    }

    void send(Frame.Builder frame) {
        if (connection != null) {
            connection.send(frame);
        }
    }

    void endStream(long streamId, End end) {
        removeStream(streamId);
        send(Frame.newBuilder().setStream(streamId).setEnd(end));
    }

    void countSlowReader() {
        counters.slowReaderFailures.increment();
    }

    private void onOpen(long streamId, Open open) {
        if (streamId <= highestStreamId) {
            // Ids increase with each Open, so this one is a duplicate; its request must not run twice.
            counters.strayFrames.increment();
            return;
        }
        highestStreamId = streamId;
        if (stopping.getAsBoolean()) {
            rejectStream(streamId, ErrorCode.STOPPING, "host is stopping; call rejected");
        } else if (respondersByStream.size() >= settings.maxStreams() || connection == null) {
            rejectStream(streamId, ErrorCode.OVERLOADED, "too many open calls on this connection; call rejected");
        } else {
            dispatch(streamId, open, connection);
        }
    }

    private void dispatch(long streamId, Open open, Connection source) {
        long deadlineMs = clock.nowMs() + open.getTimeoutMs();
        PeerResponder responder = new PeerResponder(settings, this, eventLoop, streamId, source.peer(), deadlineMs);
        respondersByStream.put(streamId, responder);
        openStreams.incrementAndGet();
        try {
            handler.handle(open.getMethod(), open.getRequest(), responder);
        } catch (GatewayException e) {
            responder.fail(e);
        } catch (RuntimeException e) {
            LOG.error("peer: handler of method {} failed; failing the call", open.getMethod(), e);
            responder.fail(
                    new GatewayException(ErrorCode.INTERNAL, RunState.UNKNOWN, 0, "call handler failed unexpectedly"));
        }
    }

    private void rejectStream(long streamId, ErrorCode code, String message) {
        send(Frame.newBuilder().setStream(streamId).setEnd(FailureCodec.encode(new GatewayException(code, message))));
    }

    private void removeStream(long streamId) {
        if (respondersByStream.remove(streamId) != null) {
            openStreams.decrementAndGet();
        }
    }
}
