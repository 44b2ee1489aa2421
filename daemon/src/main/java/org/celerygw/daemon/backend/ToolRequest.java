package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import org.celerygw.core.helper.Check;

/**
 * A tool call to be sent to a service.
 *
 * @param address the service's address
 * @param path the request path, starting with a slash
 * @param idempotencyKey the value of the Idempotency-Key header
 * @param contentType the media type of the body
 * @param body the request body
 * @param timeoutMs the timeout of the entire call
 * @param repeatable whether the call may be sent again; one that may not gets a new connection, because a pooled
 *     connection that has silently failed would leave it unknown whether the call ran
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
        Check.that(path.startsWith("/"), "path must start with a slash");
        Check.that(timeoutMs > 0, "timeoutMs must be positive");
    }
}
