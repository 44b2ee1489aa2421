package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.core.error.GatewayException;

/** Records the chunks and the outcome of one call. */
final class RecordingListener implements PeerCallListener {
    final List<ByteString> chunks = new CopyOnWriteArrayList<>();
    final AtomicInteger endCount = new AtomicInteger();
    private final CompletableFuture<ByteString> reply = new CompletableFuture<>();

    @Override
    public void onChunk(ByteString data) {
        chunks.add(data);
    }

    @Override
    public void onEnd(ByteString encodedReply) {
        endCount.incrementAndGet();
        reply.complete(encodedReply);
    }

    @Override
    public void onFail(GatewayException failure) {
        endCount.incrementAndGet();
        reply.completeExceptionally(failure);
    }

    /** Waits for the reply; throws the failure if the call failed. */
    ByteString reply() {
        try {
            return reply.get(60, TimeUnit.SECONDS);
        } catch (InterruptedException | TimeoutException e) {
            throw new IllegalStateException("call did not end within 60 s", e);
        } catch (ExecutionException e) {
            throw (GatewayException) e.getCause();
        }
    }

    /** Waits for the failure; throws IllegalStateException if the call succeeded. */
    GatewayException failure() {
        try {
            throw new IllegalStateException("expected the call to fail, but it returned the reply " + reply());
        } catch (GatewayException e) {
            return e;
        }
    }

    /** Returns all chunks received so far, concatenated. */
    ByteString receivedBytes() {
        return ByteString.copyFrom(chunks);
    }
}
