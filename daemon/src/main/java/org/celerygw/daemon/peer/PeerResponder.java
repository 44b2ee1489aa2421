package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicLong;
import org.celerygw.api.gen.peer.Chunk;
import org.celerygw.api.gen.peer.End;
import org.celerygw.api.gen.peer.Frame;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.HostId;
import org.jspecify.annotations.Nullable;

/**
 * Sends the response to one incoming call. Public methods may be called from any thread; callbacks run on a Netty
 * thread.
 */
public final class PeerResponder {
    private final PeerSettings settings;
    private final ServerLink link;
    private final EventLoop eventLoop;
    private final long streamId;
    private final HostId caller;
    private final long deadlineMs;
    private final AtomicLong queuedBytes = new AtomicLong();
    private final Deque<ByteString> queue = new ArrayDeque<>();
    private long creditBytes;
    private @Nullable End endFrame;
    private boolean closed;
    private @Nullable Runnable cancelCallback;
    private @Nullable Runnable drainedCallback;

    PeerResponder(
            PeerSettings settings,
            ServerLink link,
            EventLoop eventLoop,
            long streamId,
            HostId caller,
            long deadlineMs) {
        this.settings = settings;
        this.link = link;
        this.eventLoop = eventLoop;
        this.streamId = streamId;
        this.caller = caller;
        this.deadlineMs = deadlineMs;
        this.creditBytes = settings.windowBytes();
    }

    /**
     * Returns the host that sent the call.
     *
     * @return host id of the calling daemon
     */
    public HostId caller() {
        return caller;
    }

    /**
     * Returns the deadline of the call.
     *
     * @return deadline in milliseconds, by this host's clock
     */
    public long deadlineMs() {
        return deadlineMs;
    }

    /**
     * Sends the next chunk of the response, or queues it until the caller grants credit.
     *
     * @param data bytes that follow those of the previous chunk
     * @return whether more may be sent at once; if not, continue when the callback of {@link #onDrained} is called. A
     *     call whose queue exceeds the limit fails.
     */
    public boolean sendChunk(ByteString data) {
        long queued = queuedBytes.addAndGet(data.size());
        eventLoop.execute(() -> enqueue(data));
        return queued <= settings.windowBytes();
    }

    /**
     * Completes the call, after the chunks sent before.
     *
     * @param reply encoded reply
     */
    public void complete(ByteString reply) {
        if (reply.size() + FrameCodec.RESERVED_BYTES > settings.maxFrameBytes()) {
            fail(new GatewayException(
                    ErrorCode.TOO_LARGE,
                    RunState.RUN,
                    0,
                    "reply exceeds the maximum frame size; not sent to the caller"));
            return;
        }
        finishWith(End.newBuilder().setReply(reply).build());
    }

    /**
     * Fails the call, after the chunks sent before.
     *
     * @param failure cause of the failure; its run state says whether the request ran
     */
    public void fail(GatewayException failure) {
        finishWith(FailureCodec.encode(failure));
    }

    /**
     * Sets the callback that runs when the caller cancels, disconnects or reads too slowly. If that has already
     * happened, the callback runs immediately.
     *
     * @param callback runs at most once
     */
    public void onCancel(Runnable callback) {
        eventLoop.execute(() -> {
            if (closed && endFrame == null) {
                callback.run();
            } else {
                cancelCallback = callback;
            }
        });
    }

    /**
     * Sets the callback that runs each time all queued chunks have been sent.
     *
     * @param callback runs any number of times
     */
    public void onDrained(Runnable callback) {
        eventLoop.execute(() -> drainedCallback = callback);
    }

    void addCredit(int bytes) {
        creditBytes += bytes;
        sendQueuedChunks();
    }

    /** Sends as many queued chunks as the credit and the connection's send buffer allow, then a waiting End frame. */
    void sendQueuedChunks() {
        boolean hadQueuedChunks = !queue.isEmpty();
        while (!closed && !queue.isEmpty() && creditBytes > 0 && link.isConnectionWritable()) {
            ByteString next = queue.remove();
            int bytes = (int) Math.min(next.size(), creditBytes);
            if (bytes < next.size()) {
                queue.addFirst(next.substring(bytes));
            }
            creditBytes -= bytes;
            queuedBytes.addAndGet(-bytes);
            link.send(Frame.newBuilder()
                    .setStream(streamId)
                    .setChunk(Chunk.newBuilder().setData(next.substring(0, bytes))));
        }
        if (!closed && queue.isEmpty() && endFrame != null) {
            closed = true;
            link.endStream(streamId, endFrame);
        } else if (hadQueuedChunks && queue.isEmpty() && drainedCallback != null) {
            drainedCallback.run();
        }
    }

    /** Discards queued chunks and runs the cancel callback: the caller cancelled, disconnected or read too slowly. */
    void abort() {
        if (closed) {
            return;
        }
        closed = true;
        queue.clear();
        if (endFrame == null && cancelCallback != null) {
            cancelCallback.run();
        }
    }

    private void enqueue(ByteString data) {
        if (closed || endFrame != null) {
            queuedBytes.addAndGet(-data.size());
            return;
        }
        if (queuedBytes.get() > settings.maxQueuedBytes()) {
            failSlowReader();
            return;
        }
        queue.add(data);
        sendQueuedChunks();
    }

    private void failSlowReader() {
        abort();
        link.countSlowReader();
        link.endStream(
                streamId,
                FailureCodec.encode(new GatewayException(
                        ErrorCode.OVERLOADED,
                        RunState.UNKNOWN,
                        0,
                        "caller read the response too slowly; its queue exceeded the limit")));
    }

    private void finishWith(End frame) {
        eventLoop.execute(() -> {
            if (!closed && endFrame == null) {
                endFrame = frame;
                sendQueuedChunks();
            }
        });
    }
}
