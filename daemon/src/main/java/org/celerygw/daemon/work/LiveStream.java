package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.call.CallRequest;

/**
 * What a call under way has streamed so far, so that a caller who joins late gets the beginning too.
 */
final class LiveStream {
    private final List<ByteString> parts = new ArrayList<>();
    private final CallRequest call;
    private long bytes;

    LiveStream(CallRequest call) {
        this.call = call;
    }

    /** Returns the call that is being answered. */
    CallRequest call() {
        return call;
    }

    /** Returns whether a caller who sent this request may have the stream: it must be the very same request. */
    boolean answers(CallRequest other) {
        return call.key().equals(other.key())
                && call.customer().equals(other.customer())
                && call.bodyDigest().equals(other.bodyDigest());
    }

    /**
     * Adds a part that begins at this offset. A new attempt streams from the beginning again: what it repeats is
     * left out.
     *
     * @return what is new, or empty when nothing is
     */
    Optional<Part> add(long offsetBytes, ByteString part) {
        long end = offsetBytes + part.size();
        if (end <= bytes || offsetBytes > bytes) {
            return Optional.empty();
        }
        ByteString fresh = part.substring((int) (bytes - offsetBytes));
        Part added = new Part(bytes, fresh);
        parts.add(fresh);
        bytes = end;
        return Optional.of(added);
    }

    /** Returns all that was streamed so far. */
    ByteString sofar() {
        return ByteString.copyFrom(parts);
    }

    boolean isEmpty() {
        return bytes == 0;
    }

    record Part(long offsetBytes, ByteString bytes) {}
}
