package org.celerygw.daemon.backend;

/** A call in flight to a backend server. */
@FunctionalInterface
public interface BackendCall {
    /**
     * Cancels the call: it ends at once with code CANCELLED. A model call is also cancelled at its engine; for a tool
     * call the connection is closed. Has no effect after the call has ended.
     */
    void cancel();
}
