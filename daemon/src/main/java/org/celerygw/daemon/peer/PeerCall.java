package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One outgoing call to a peer. Its public methods may be called from any thread. */
public final class PeerCall {
    private static final Logger LOG = LoggerFactory.getLogger(PeerCall.class);

    private final String method;
    private final ByteString request;
    private final long deadlineMs;
    private final PeerCallListener listener;
    private final ClientLink link;
    private final EventLoop eventLoop;
    private @Nullable Future<?> deadlineTimer;
    private long streamId;
    private boolean written;
    private boolean ended;
    private boolean paused;
    private int creditDueBytes;

    PeerCall(
            String method,
            ByteString request,
            long deadlineMs,
            PeerCallListener listener,
            ClientLink link,
            EventLoop eventLoop) {
        this.method = method;
        this.request = request;
        this.deadlineMs = deadlineMs;
        this.listener = listener;
        this.link = link;
        this.eventLoop = eventLoop;
    }

    /**
     * Cancels the call: notifies the peer if the request was sent, and reports CANCELLED to the listener. Does nothing
     * if the call has already ended.
     */
    public void cancel() {
        // When the links are closed, every call has already failed and the event loops reject new tasks.
        if (eventLoop.isShuttingDown()) {
            return;
        }
        eventLoop.execute(() -> link.abort(this, ErrorCode.CANCELLED, "call cancelled by the caller"));
    }

    /** Stops granting credit, so that the peer stops sending once its window is used up, until {@link #resume()}. */
    public void pause() {
        eventLoop.execute(() -> paused = true);
    }

    /** Grants credit again, so that the peer continues to send. */
    public void resume() {
        eventLoop.execute(() -> {
            paused = false;
            link.sendCredit(this);
        });
    }

    String method() {
        return method;
    }

    ByteString request() {
        return request;
    }

    long deadlineMs() {
        return deadlineMs;
    }

    long streamId() {
        return streamId;
    }

    boolean isEnded() {
        return ended;
    }

    void startDeadlineTimer(long remainingMs) {
        deadlineTimer = eventLoop.schedule(
                () -> link.abort(this, ErrorCode.DEADLINE_EXCEEDED, "call did not complete before its deadline"),
                Math.max(0, remainingMs),
                TimeUnit.MILLISECONDS);
    }

    void markWritten(long openedStreamId) {
        written = true;
        streamId = openedStreamId;
    }

    /** Returns NOT_RUN until the request has been passed to the connection, then UNKNOWN. */
    RunState runState() {
        return written ? RunState.UNKNOWN : RunState.NOT_RUN;
    }

    void receiveChunk(ByteString data) {
        creditDueBytes += data.size();
        invokeListener(() -> listener.onChunk(data));
    }

    /** Returns and resets the credit due to the peer; returns 0 if paused or if less than {@code minBytes} is due. */
    int takeCredit(int minBytes) {
        if (paused || creditDueBytes < minBytes) {
            return 0;
        }
        int bytes = creditDueBytes;
        creditDueBytes = 0;
        return bytes;
    }

    void complete(ByteString reply) {
        if (markEnded()) {
            invokeListener(() -> listener.onEnd(reply));
        }
    }

    void fail(GatewayException failure) {
        if (markEnded()) {
            invokeListener(() -> listener.onFail(failure));
        }
    }

    private boolean markEnded() {
        if (ended) {
            return false;
        }
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        return true;
    }

    private void invokeListener(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException e) {
            // A failing listener must not break the connection for the calls of others.
            LOG.error("peer: listener of a call of method {} failed; cancelling the call", method, e);
            cancel();
        }
    }
}
