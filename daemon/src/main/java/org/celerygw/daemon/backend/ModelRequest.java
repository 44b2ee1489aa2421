package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import org.celerygw.core.helper.Check;

/**
 * A model call to be sent to an engine.
 *
 * @param address the engine's address
 * @param requestId the id of this request at the engine, used to resume and to cancel it; must never be reused
 * @param program the program for which the engine keeps the prefix in memory; empty to keep none
 * @param priority the engine's scheduling priority; lower values are served first
 * @param body the chat-completions request as JSON
 * @param timeoutMs the timeout of the entire call, resumes included
 */
public record ModelRequest(
        BackendAddress address, String requestId, String program, int priority, ByteString body, long timeoutMs) {
    /** Checks the request id and the timeout. */
    public ModelRequest {
        Check.name(requestId, "requestId");
        Check.that(timeoutMs > 0, "timeoutMs must be positive");
    }
}
