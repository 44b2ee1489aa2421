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

/**
 * The outgoing calls to one peer over one connection. {@link #isUsable}, {@link #connect}, {@link #submit} and
 * {@link #close} may be called from any thread; everything else runs on the connection's event loop.
 */
final class ClientLink implements Connection.FrameListener {
    private final PeerSettings settings;
    private final Clock clock;
    private final ConnectionCounters counters;
    private final EventLoop eventLoop;
    private final Deque<PeerCall> pendingCalls = new ArrayDeque<>();
    private final Map<Long, PeerCall> activeCalls = new HashMap<>();
    private final AtomicLong pendingBytes = new AtomicLong();
    private volatile boolean usable = true;
    private @Nullable Connection connection;
    private boolean closed;
    private long lastStreamId;

    ClientLink(PeerSettings settings, Clock clock, ConnectionCounters counters, EventLoop eventLoop) {
        this.settings = settings;
        this.clock = clock;
        this.counters = counters;
        this.eventLoop = eventLoop;
    }

    /** Returns whether new calls may be sent over this connection. */
    boolean isUsable() {
        return usable;
    }

    void connect(Bootstrap bootstrap) {
        ChannelFuture connectFuture = bootstrap.connect();
        connectFuture.addListener(future -> {
            if (!future.isSuccess()) {
                onClosed();
            }
        });
    }

    PeerCall submit(String method, ByteString request, long deadlineMs, PeerCallListener listener) {
        PeerCall call = new PeerCall(method, request, deadlineMs, listener, this, eventLoop);
        int bytes = request.size();
        if (bytes + FrameCodec.RESERVED_BYTES > settings.maxFrameBytes()) {
            eventLoop.execute(() -> call.fail(new GatewayException(
                    ErrorCode.TOO_LARGE, "request exceeds the maximum frame size; not sent to the peer")));
        } else if (pendingBytes.addAndGet(bytes) > settings.maxPendingBytes()) {
            pendingBytes.addAndGet(-bytes);
            eventLoop.execute(() -> call.fail(new GatewayException(
                    ErrorCode.OVERLOADED, "pending requests to this peer exceed the byte limit; request not sent")));
        } else {
            eventLoop.execute(() -> enqueue(call));
        }
        return call;
    }

    /** Ends a call on the caller's side; the failure says NOT_RUN only if the request was never written. */
    void abort(PeerCall call, ErrorCode code, String message) {
        if (call.isEnded()) {
            return;
        }
        if (pendingCalls.remove(call)) {
            pendingBytes.addAndGet(-call.request().size());
        }
        if (activeCalls.remove(call.streamId(), call) && connection != null) {
            connection.send(Frame.newBuilder().setStream(call.streamId()).setCancel(Cancel.getDefaultInstance()));
        }
        call.fail(new GatewayException(code, call.runState(), 0, message));
        closeWhenDrained();
    }

    /** Grants the peer the call's outstanding flow-control credit, once it amounts to a quarter of the window. */
    void sendCredit(PeerCall call) {
        int bytes = call.takeCredit(settings.windowBytes() / 4);
        if (bytes > 0 && connection != null && activeCalls.containsKey(call.streamId())) {
            connection.send(Frame.newBuilder()
                    .setStream(call.streamId())
                    .setCredit(Credit.newBuilder().setBytes(bytes)));
        }
    }

    void close() {
        usable = false;
        eventLoop.execute(() -> {
            if (connection != null) {
                connection.close();
            } else {
                onClosed();
            }
        });
    }

    @Override
    public void onReady(Connection authenticated) {
        if (closed) {
            authenticated.close();
            return;
        }
        connection = authenticated;
        onWritable();
    }

    @Override
    public void onWritable() {
        while (connection != null
                && connection.isWritable()
                && usable
                && !pendingCalls.isEmpty()
                && activeCalls.size() < settings.maxStreams()) {
            openStream(connection, pendingCalls.remove());
        }
    }

    @Override
    public void onFrame(Frame frame) {
        switch (frame.getBodyCase()) {
            case CHUNK -> onChunk(frame);
            case END -> onEnd(frame);
            case GO_AWAY -> onGoAway();
            default -> counters.strayFrames.increment();
        }
    }

    @Override
    public void onClosed() {
        usable = false;
        closed = true;
        List<PeerCall> lostCalls = new ArrayList<>(activeCalls.values());
        activeCalls.clear();
        failPending(ErrorCode.NO_BACKEND, "connection to the peer failed or closed before the request was sent");
        lostCalls.forEach(call -> call.fail(new GatewayException(
                ErrorCode.BACKEND_LOST,
                RunState.UNKNOWN,
                0,
                "connection to the peer closed before the reply arrived")));
    }

    private void enqueue(PeerCall call) {
        long remainingMs = call.deadlineMs() - clock.nowMs();
        if (closed || !usable) {
            pendingBytes.addAndGet(-call.request().size());
            call.fail(new GatewayException(ErrorCode.NO_BACKEND, "connection to the peer is closed; request not sent"));
            return;
        }
        pendingCalls.add(call);
        call.startDeadlineTimer(remainingMs);
        onWritable();
    }

    private void openStream(Connection target, PeerCall call) {
        pendingBytes.addAndGet(-call.request().size());
        long streamId = ++lastStreamId;
        call.markWritten(streamId);
        activeCalls.put(streamId, call);
        target.send(Frame.newBuilder()
                .setStream(streamId)
                .setOpen(Open.newBuilder()
                        .setMethod(call.method())
                        .setRequest(call.request())
                        .setTimeoutMs(Math.max(0, call.deadlineMs() - clock.nowMs()))));
    }

    private void onChunk(Frame frame) {
        PeerCall call = activeCalls.get(frame.getStream());
        if (call == null) {
            counters.strayFrames.increment();
            return;
        }
        call.receiveChunk(frame.getChunk().getData());
        sendCredit(call);
    }

    private void onEnd(Frame frame) {
        PeerCall call = activeCalls.remove(frame.getStream());
        if (call == null) {
            counters.strayFrames.increment();
            return;
        }
        End end = frame.getEnd();
        if (end.getErrorCode().isEmpty()) {
            call.complete(end.getReply());
        } else {
            call.fail(FailureCodec.decode(end));
        }
        onWritable();
        closeWhenDrained();
    }

    private void onGoAway() {
        usable = false;
        failPending(ErrorCode.STOPPING, "peer is stopping; request not sent");
        closeWhenDrained();
    }

    private void failPending(ErrorCode code, String message) {
        List<PeerCall> failedCalls = List.copyOf(pendingCalls);
        pendingCalls.clear();
        failedCalls.forEach(call -> {
            pendingBytes.addAndGet(-call.request().size());
            call.fail(new GatewayException(code, message));
        });
    }

    private void closeWhenDrained() {
        if (!usable && activeCalls.isEmpty() && connection != null) {
            connection.close();
        }
    }
}
