package org.celerygw.daemon.work;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.call.CallRequest;

/**
 * Buffers the response stream of a call in flight, so that a caller that attaches later receives it from the start.
 */
final class ResponseStream {
    private final List<ByteString> parts = new ArrayList<>();
    private final CallRequest call;
    private long sizeBytes;

    ResponseStream(CallRequest call) {
        this.call = call;
    }

    CallRequest call() {
        return call;
    }

    /** Returns whether the request is identical (key, customer and body digest) and may therefore receive this stream. */
    boolean matches(CallRequest other) {
        return call.key().equals(other.key())
                && call.customer().equals(other.customer())
                && call.bodyDigest().equals(other.bodyDigest());
    }

    /**
     * Appends the bytes that are not buffered yet. A new attempt streams from offset 0 again, so its parts can overlap
     * the buffer; a part that would leave a gap is ignored.
     *
     * @return the appended bytes, or empty when the part adds nothing
     */
    Optional<Part> append(long offsetBytes, ByteString part) {
        long endBytes = offsetBytes + part.size();
        if (endBytes <= sizeBytes || offsetBytes > sizeBytes) {
            return Optional.empty();
        }
        ByteString unseen = part.substring((int) (sizeBytes - offsetBytes));
        Part added = new Part(sizeBytes, unseen);
        parts.add(unseen);
        sizeBytes = endBytes;
        return Optional.of(added);
    }

    /** Returns everything streamed so far, from offset 0. */
    ByteString content() {
        return ByteString.copyFrom(parts);
    }

    boolean isEmpty() {
        return sizeBytes == 0;
    }

    record Part(long offsetBytes, ByteString bytes) {}
}
