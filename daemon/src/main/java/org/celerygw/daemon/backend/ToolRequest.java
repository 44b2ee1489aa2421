package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import org.celerygw.core.helper.Check;

/**
 * A tool call to send.
 *
 * @param address the service's host
 * @param path the path with its leading slash
 * @param idempotencyKey the key that the service sees
 * @param contentType the body's media type
 * @param body the body
 * @param timeoutMs how long the call may take
 * @param repeatable whether it may be repeated; one that may not goes out on a connection of its own, so that none
 *     that went silent unnoticed can lose it
 */
public record ToolRequest(
        BackendAddress address,
        String path,
        String idempotencyKey,
        String contentType,
        ByteString body,
        long timeoutMs,
        boolean repeatable) {
    /** Checks the path and the timeout. */
    public ToolRequest {
        Check.that(path.startsWith("/"), "path must begin with a slash");
        Check.that(timeoutMs > 0, "timeoutMs must be positive");
    }
}
