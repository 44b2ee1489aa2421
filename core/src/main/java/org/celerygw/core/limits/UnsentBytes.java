package org.celerygw.core.limits;

/**
 * Decides which responses are read on, by what their clients have not taken yet. Each response may hold a share of what is
 * free (dynamic threshold), so that few slow clients have large buffers and many have small ones. Not thread-safe.
 */
public final class UnsentBytes {
    private static final long MAX_BYTES_PER_RESPONSE = 256 << 10;
    /** With n slow clients, each holds about 1 / (n + 8) of the bound, and 8 / (n + 8) stays free. */
    private static final int FREE_DIVISOR = 8;

    private final long maxBytes;
    private long bytes;

    /**
     * Creates the account of a host that holds nothing.
     *
     * @param maxBytes how much all responses together may hold, besides one read of each
     */
    public UnsentBytes(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Counts bytes that were passed to a client's connection.
     *
     * @param added the number of bytes
     */
    public void add(long added) {
        bytes += added;
    }

    /**
     * Counts bytes that a client has taken, or that were dropped with its connection.
     *
     * @param removed the number of bytes
     */
    public void remove(long removed) {
        bytes -= removed;
    }

    /**
     * Returns how much all responses hold.
     *
     * @return the number of bytes
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Returns whether a response is not read any further until its client has taken more of it.
     *
     * @param responseBytes what the response holds
     * @return false if it holds nothing, so that a client that takes everything is never held up by others
     */
    public boolean mustPause(long responseBytes) {
        return responseBytes > maxResponseBytes();
    }

    /**
     * Returns whether a paused response is read again.
     *
     * @param responseBytes what the response holds
     * @return true if it holds nothing or at most half of what it may hold
     */
    public boolean mayResume(long responseBytes) {
        return responseBytes <= maxResponseBytes() / 2;
    }

    private long maxResponseBytes() {
        return Math.max(0, Math.min(MAX_BYTES_PER_RESPONSE, (maxBytes - bytes) / FREE_DIVISOR));
    }
}
