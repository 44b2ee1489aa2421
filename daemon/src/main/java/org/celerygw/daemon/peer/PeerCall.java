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

/** One call at a peer, from the caller's side. Its methods may be used from any thread. */
public final class PeerCall {
    private static final Logger LOG = LoggerFactory.getLogger(PeerCall.class);

    private final String method;
    private final ByteString request;
    private final long deadlineMs;
    private final Listener listener;
    private final ClientLink link;
    private final EventLoop loop;
    private @Nullable Future<?> timer;
    private long stream;
    private boolean written;
    private boolean ended;
    private boolean paused;
    private int owedBytes;

    PeerCall(String method, ByteString request, long deadlineMs, Listener listener, ClientLink link, EventLoop loop) {
        this.method = method;
        this.request = request;
        this.deadlineMs = deadlineMs;
        this.listener = listener;
        this.link = link;
        this.loop = loop;
    }

    /** Ends the call: the peer is told, and the listener fails with CANCELLED unless the call has ended already. */
    public void cancel() {
        // Once the links are closed every call has failed already, and their loops take no more work.
        if (loop.isShuttingDown()) {
            return;
        }
        loop.execute(() -> link.abandon(this, ErrorCode.CANCELLED, "the caller cancelled"));
    }

    /** Holds back the peer after the chunks under way, until {@link #resume()}. */
    public void pause() {
        loop.execute(() -> paused = true);
    }

    /** Lets the peer send again. */
    public void resume() {
        loop.execute(() -> {
            paused = false;
            link.credit(this);
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

    long stream() {
        return stream;
    }

    boolean ended() {
        return ended;
    }

    void startTimer(long timeLeftMs) {
        timer = loop.schedule(
                () -> link.abandon(this, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed"),
                Math.max(0, timeLeftMs),
                TimeUnit.MILLISECONDS);
    }

    void written(long onStream) {
        written = true;
        stream = onStream;
    }

    /** Returns NOT_RUN while nothing of the request was handed to the connection. */
    RunState runState() {
        return written ? RunState.UNKNOWN : RunState.NOT_RUN;
    }

    void chunk(ByteString data) {
        owedBytes += data.size();
        guard(() -> listener.onChunk(data));
    }

    /** Takes the credit that is due, or 0 while paused or while too little is due for a frame. */
    int takeCredit(int minBytes) {
        if (paused || owedBytes < minBytes) {
            return 0;
        }
        int bytes = owedBytes;
        owedBytes = 0;
        return bytes;
    }

    void end(ByteString reply) {
        if (finish()) {
            guard(() -> listener.onEnd(reply));
        }
    }

    void fail(GatewayException failure) {
        if (finish()) {
            guard(() -> listener.onFail(failure));
        }
    }

    private boolean finish() {
        if (ended) {
            return false;
        }
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        return true;
    }

    private void guard(Runnable callback) {
        try {
            callback.run();
        } catch (RuntimeException e) {
            // One caller's fault must not break the connection for the others.
            LOG.error("peer: listener of {} failed", method, e);
            cancel();
        }
    }
}
