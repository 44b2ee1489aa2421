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

/** The calls of one peer that connected to this daemon. Runs on the connection's event loop. */
final class ServerLink implements Connection.Sink {
    private static final Logger LOG = LoggerFactory.getLogger(ServerLink.class);

    private final PeerSettings settings;
    private final Clock clock;
    private final Counters counters;
    private final EventLoop loop;
    private final Handler handler;
    private final BooleanSupplier stopping;
    private final AtomicInteger openStreams;
    private final Map<Long, Responder> streams = new HashMap<>();
    private @Nullable Connection connection;
    private long highestStream;

    ServerLink(
            PeerSettings settings,
            Clock clock,
            Counters counters,
            EventLoop loop,
            Handler handler,
            BooleanSupplier stopping,
            AtomicInteger openStreams) {
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.loop = loop;
        this.handler = handler;
        this.stopping = stopping;
        this.openStreams = openStreams;
    }

    @Override
    public void ready(Connection opened) {
        connection = opened;
        if (stopping.getAsBoolean()) {
            opened.goAway();
        }
    }

    @Override
    public void frame(Frame frame) {
        Responder responder = streams.get(frame.getStream());
        switch (frame.getBodyCase()) {
            case OPEN -> open(frame.getStream(), frame.getOpen());
            case CANCEL -> {
                if (responder == null) {
                    counters.strayFrames.increment();
                    return;
                }
                remove(frame.getStream());
                responder.cancelled();
            }
            case CREDIT -> {
                if (responder != null) {
                    responder.credit(frame.getCredit().getBytes());
                }
            }
            default -> counters.strayFrames.increment();
        }
    }

    @Override
    public void writable() {
        List.copyOf(streams.values()).forEach(Responder::drain);
    }

    @Override
    public void closed() {
        List<Responder> lost = List.copyOf(streams.values());
        openStreams.addAndGet(-streams.size());
        streams.clear();
        lost.forEach(Responder::cancelled);
    }

    /** Tells the peer that no new calls are taken. */
    void goAway() {
        loop.execute(() -> {
            if (connection != null) {
                connection.goAway();
            }
        });
    }

    boolean connectionWritable() {
        return connection != null && connection.writable();
    }

    void send(Frame.Builder frame) {
        if (connection != null) {
            connection.send(frame);
        }
    }

    void end(long stream, End end) {
        remove(stream);
        send(Frame.newBuilder().setStream(stream).setEnd(end));
    }

    void tooSlow() {
        counters.slowReaders.increment();
    }

    private void open(long stream, Open open) {
        if (stream <= highestStream) {
            // A repeated Open must not run twice.
            counters.strayFrames.increment();
            return;
        }
        highestStream = stream;
        if (stopping.getAsBoolean()) {
            refuse(stream, ErrorCode.STOPPING, "this host is stopping");
        } else if (streams.size() >= settings.maxStreams() || connection == null) {
            refuse(stream, ErrorCode.OVERLOADED, "too many calls on this connection");
        } else {
            serve(stream, open, connection);
        }
    }

    private void serve(long stream, Open open, Connection from) {
        long deadlineMs = clock.nowMs() + open.getTimeoutMs();
        Responder responder = new Responder(settings, this, loop, stream, from.peer(), deadlineMs);
        streams.put(stream, responder);
        openStreams.incrementAndGet();
        try {
            handler.handle(open.getMethod(), open.getRequest(), responder);
        } catch (GatewayException e) {
            responder.fail(e);
        } catch (RuntimeException e) {
            LOG.error("peer: handler of {} failed", open.getMethod(), e);
            responder.fail(new GatewayException(ErrorCode.INTERNAL, RunState.UNKNOWN, 0, "the handler failed"));
        }
    }

    private void refuse(long stream, ErrorCode code, String message) {
        send(Frame.newBuilder().setStream(stream).setEnd(Failures.encode(new GatewayException(code, message))));
    }

    private void remove(long stream) {
        if (streams.remove(stream) != null) {
            openStreams.decrementAndGet();
        }
    }
}
