package org.celerygw.daemon.backend;

import com.google.protobuf.ByteString;
import org.celerygw.core.helper.Check;

/**
 * A model call to send.
 *
 * @param address the engine
 * @param requestId names this attempt at the engine, for resume and cancel; unique for ever
 * @param program the program that the engine's memory is held for; empty to hold none
 * @param priority lower goes first
 * @param body the chat-completions request
 * @param timeoutMs how long the call may take
 */
public record ModelRequest(
        BackendAddress address, String requestId, String program, int priority, ByteString body, long timeoutMs) {
    /** Checks the names and the timeout. */
    public ModelRequest {
        Check.name(requestId, "requestId");
        Check.that(timeoutMs > 0, "timeoutMs must be positive");
    }
}
