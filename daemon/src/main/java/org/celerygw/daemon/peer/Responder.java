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

/** Takes the answer to one call of a peer. Its methods may be used from any thread; callbacks come on a Netty thread. */
public final class Responder {
    private final PeerSettings settings;
    private final ServerLink link;
    private final EventLoop loop;
    private final long stream;
    private final HostId caller;
    private final long deadlineMs;
    private final AtomicLong queuedBytes = new AtomicLong();
    private final Deque<ByteString> queue = new ArrayDeque<>();
    private long creditBytes;
    private @Nullable End end;
    private boolean closed;
    private @Nullable Runnable onCancel;
    private @Nullable Runnable onDrained;

    Responder(PeerSettings settings, ServerLink link, EventLoop loop, long stream, HostId caller, long deadlineMs) {
        this.settings = settings;
        this.link = link;
        this.loop = loop;
        this.stream = stream;
        this.caller = caller;
        this.deadlineMs = deadlineMs;
        this.creditBytes = settings.windowBytes();
    }

    /**
     * Returns who asks.
     *
     * @return the calling daemon
     */
    public HostId caller() {
        return caller;
    }

    /**
     * Returns until when the caller waits.
     *
     * @return the deadline by this host's clock
     */
    public long deadlineMs() {
        return deadlineMs;
    }

    /**
     * Sends a part of the answer.
     *
     * @param data the part
     * @return whether the caller keeps up; if not, go on after {@link #onDrained}. A call with more than the limit
     *     waiting fails.
     */
    public boolean chunk(ByteString data) {
        long queued = queuedBytes.addAndGet(data.size());
        loop.execute(() -> enqueue(data));
        return queued <= settings.windowBytes();
    }

    /**
     * Ends the answer, after its chunks.
     *
     * @param reply the reply
     */
    public void end(ByteString reply) {
        if (reply.size() + 1024 > settings.maxFrameBytes()) {
            fail(new GatewayException(ErrorCode.TOO_LARGE, RunState.RUN, 0, "the reply exceeds a frame"));
            return;
        }
        finish(End.newBuilder().setReply(reply).build());
    }

    /**
     * Fails the call, after the chunks sent before.
     *
     * @param failure the failure, with whether the request ran
     */
    public void fail(GatewayException failure) {
        finish(Failures.encode(failure));
    }

    /**
     * Sets what to do when the caller cancels or is gone; done at once when that has happened already.
     *
     * @param action runs at most once
     */
    public void onCancel(Runnable action) {
        loop.execute(() -> {
            if (closed && end == null) {
                action.run();
            } else {
                onCancel = action;
            }
        });
    }

    /**
     * Sets what to do each time when all chunks are on their way.
     *
     * @param action runs any number of times
     */
    public void onDrained(Runnable action) {
        loop.execute(() -> onDrained = action);
    }

    void credit(int bytes) {
        creditBytes += bytes;
        drain();
    }

    /** Sends what credit and connection allow. */
    void drain() {
        boolean hadQueue = !queue.isEmpty();
        while (!closed && !queue.isEmpty() && creditBytes > 0 && link.connectionWritable()) {
            ByteString next = queue.remove();
            int bytes = (int) Math.min(next.size(), creditBytes);
            if (bytes < next.size()) {
                queue.addFirst(next.substring(bytes));
            }
            creditBytes -= bytes;
            queuedBytes.addAndGet(-bytes);
            link.send(Frame.newBuilder()
                    .setStream(stream)
                    .setChunk(Chunk.newBuilder().setData(next.substring(0, bytes))));
        }
        if (!closed && queue.isEmpty() && end != null) {
            closed = true;
            link.end(stream, end);
        } else if (hadQueue && queue.isEmpty() && onDrained != null) {
            onDrained.run();
        }
    }

    /** The caller cancelled or its connection is gone. */
    void cancelled() {
        if (closed) {
            return;
        }
        closed = true;
        queue.clear();
        if (end == null && onCancel != null) {
            onCancel.run();
        }
    }

    private void enqueue(ByteString data) {
        if (closed || end != null) {
            queuedBytes.addAndGet(-data.size());
            return;
        }
        if (queuedBytes.get() > settings.maxQueuedBytes()) {
            tooSlow();
            return;
        }
        queue.add(data);
        drain();
    }

    private void tooSlow() {
        cancelled();
        link.tooSlow();
        link.end(
                stream,
                Failures.encode(new GatewayException(
                        ErrorCode.OVERLOADED, RunState.UNKNOWN, 0, "the answer was read too slowly")));
    }

    private void finish(End with) {
        loop.execute(() -> {
            if (!closed && end == null) {
                end = with;
                drain();
            }
        });
    }
}
