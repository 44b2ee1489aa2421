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

/** Remembers what one call yielded. */
final class Recorded implements Listener {
    final List<ByteString> chunks = new CopyOnWriteArrayList<>();
    final AtomicInteger ends = new AtomicInteger();
    private final CompletableFuture<ByteString> reply = new CompletableFuture<>();

    @Override
    public void onChunk(ByteString data) {
        chunks.add(data);
    }

    @Override
    public void onEnd(ByteString data) {
        ends.incrementAndGet();
        reply.complete(data);
    }

    @Override
    public void onFail(GatewayException failure) {
        ends.incrementAndGet();
        reply.completeExceptionally(failure);
    }

    ByteString reply() {
        try {
            return reply.get(60, TimeUnit.SECONDS);
        } catch (InterruptedException | TimeoutException e) {
            throw new IllegalStateException("the call did not end", e);
        } catch (ExecutionException e) {
            throw (GatewayException) e.getCause();
        }
    }

    GatewayException failure() {
        try {
            throw new IllegalStateException("the call ended well: " + reply());
        } catch (GatewayException e) {
            return e;
        }
    }

    ByteString all() {
        return ByteString.copyFrom(chunks);
    }
}
