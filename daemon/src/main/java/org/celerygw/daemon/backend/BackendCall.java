package org.celerygw.daemon.backend;

/** A call under way. */
@FunctionalInterface
public interface BackendCall {
    /**
     * Stops the call: it ends at once with code CANCELLED, and the backend server is told as far as it can be. Does
     * nothing when the call has ended.
     */
    void cancel();
}
