package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.celerygw.api.gen.peer.Cancel;
import org.celerygw.api.gen.peer.Credit;
import org.celerygw.api.gen.peer.End;
import org.celerygw.api.gen.peer.Frame;
import org.celerygw.api.gen.peer.Open;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/** The calls to one peer over one connection. Everything but {@link #submit} runs on the connection's event loop. */
final class ClientLink implements Connection.Sink {
    private final PeerSettings settings;
    private final Clock clock;
    private final Counters counters;
    private final EventLoop loop;
    private final Deque<PeerCall> pending = new ArrayDeque<>();
    private final Map<Long, PeerCall> active = new HashMap<>();
    private final AtomicLong pendingBytes = new AtomicLong();
    private volatile boolean usable = true;
    private @Nullable Connection connection;
    private boolean closed;
    private long streams;

    ClientLink(PeerSettings settings, Clock clock, Counters counters, EventLoop loop) {
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.loop = loop;
    }

    /** Returns whether new calls may go over this connection. */
    boolean usable() {
        return usable;
    }

    void connect(Bootstrap bootstrap) {
        ChannelFuture opening = bootstrap.connect();
        opening.addListener(f -> {
            if (!f.isSuccess()) {
                closed();
            }
        });
    }

    PeerCall submit(String method, ByteString request, long deadlineMs, Listener listener) {
        PeerCall call = new PeerCall(method, request, deadlineMs, listener, this, loop);
        int bytes = request.size();
        if (bytes + 1024 > settings.maxFrameBytes()) {
            loop.execute(() -> call.fail(new GatewayException(ErrorCode.TOO_LARGE, "the request exceeds a frame")));
        } else if (pendingBytes.addAndGet(bytes) > settings.maxPendingBytes()) {
            pendingBytes.addAndGet(-bytes);
            loop.execute(() -> call.fail(new GatewayException(ErrorCode.OVERLOADED, "too much waits for this peer")));
        } else {
            loop.execute(() -> enqueue(call));
        }
        return call;
    }

    /** Ends a call from this side, with what is known of its request. */
    void abandon(PeerCall call, ErrorCode code, String message) {
        if (call.ended()) {
            return;
        }
        if (pending.remove(call)) {
            pendingBytes.addAndGet(-call.request().size());
        }
        if (active.remove(call.stream(), call) && connection != null) {
            connection.send(Frame.newBuilder().setStream(call.stream()).setCancel(Cancel.getDefaultInstance()));
        }
        call.fail(new GatewayException(code, call.runState(), 0, message));
        closeWhenDrained();
    }

    /** Sends the credit that a call owes its peer. */
    void credit(PeerCall call) {
        int bytes = call.takeCredit(settings.windowBytes() / 4);
        if (bytes > 0 && connection != null && active.containsKey(call.stream())) {
            connection.send(Frame.newBuilder()
                    .setStream(call.stream())
                    .setCredit(Credit.newBuilder().setBytes(bytes)));
        }
    }

    void close() {
        usable = false;
        loop.execute(() -> {
            if (connection != null) {
                connection.close();
            } else {
                closed();
            }
        });
    }

    @Override
    public void ready(Connection opened) {
        if (closed) {
            opened.close();
            return;
        }
        connection = opened;
        writable();
    }

    @Override
    public void writable() {
        while (connection != null
                && connection.writable()
                && usable
                && !pending.isEmpty()
                && active.size() < settings.maxStreams()) {
            open(connection, pending.remove());
        }
    }

    @Override
    public void frame(Frame frame) {
        switch (frame.getBodyCase()) {
            case CHUNK -> chunk(frame);
            case END -> end(frame);
            case GO_AWAY -> drain();
            default -> counters.strayFrames.increment();
        }
    }

    @Override
    public void closed() {
        usable = false;
        closed = true;
        List<PeerCall> lost = new ArrayList<>(active.values());
        active.clear();
        failPending(ErrorCode.NO_BACKEND, "the peer cannot be reached");
        lost.forEach(c -> c.fail(
                new GatewayException(ErrorCode.BACKEND_LOST, RunState.UNKNOWN, 0, "the connection to the peer broke")));
    }

    private void enqueue(PeerCall call) {
        long timeLeftMs = call.deadlineMs() - clock.nowMs();
        if (closed || !usable) {
            pendingBytes.addAndGet(-call.request().size());
            call.fail(new GatewayException(ErrorCode.NO_BACKEND, "the connection to the peer is closed"));
            return;
        }
        pending.add(call);
        call.startTimer(timeLeftMs);
        writable();
    }

    private void open(Connection to, PeerCall call) {
        pendingBytes.addAndGet(-call.request().size());
        long stream = ++streams;
        call.written(stream);
        active.put(stream, call);
        to.send(Frame.newBuilder()
                .setStream(stream)
                .setOpen(Open.newBuilder()
                        .setMethod(call.method())
                        .setRequest(call.request())
                        .setTimeoutMs(Math.max(0, call.deadlineMs() - clock.nowMs()))));
    }

    private void chunk(Frame frame) {
        PeerCall call = active.get(frame.getStream());
        if (call == null) {
            counters.strayFrames.increment();
            return;
        }
        call.chunk(frame.getChunk().getData());
        credit(call);
    }

    private void end(Frame frame) {
        PeerCall call = active.remove(frame.getStream());
        if (call == null) {
            counters.strayFrames.increment();
            return;
        }
        End end = frame.getEnd();
        if (end.getErrorCode().isEmpty()) {
            call.end(end.getReply());
        } else {
            call.fail(Failures.decode(end));
        }
        writable();
        closeWhenDrained();
    }

    private void drain() {
        usable = false;
        failPending(ErrorCode.STOPPING, "the peer is stopping");
        closeWhenDrained();
    }

    private void failPending(ErrorCode code, String message) {
        List<PeerCall> waiting = List.copyOf(pending);
        pending.clear();
        waiting.forEach(c -> {
            pendingBytes.addAndGet(-c.request().size());
            c.fail(new GatewayException(code, message));
        });
    }

    private void closeWhenDrained() {
        if (!usable && active.isEmpty() && connection != null) {
            connection.close();
        }
    }
}
