package org.celerygw.core.limits;

/** A number of bytes that several holders share. Not thread-safe. */
public final class ByteQuota {
    private final long maxBytes;
    private long heldBytes;

    /**
     * Creates a quota of which nothing is held.
     *
     * @param maxBytes how many bytes all holders together may hold
     */
    public ByteQuota(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Holds bytes if they fit.
     *
     * @param bytes the number of bytes
     * @return false if the quota would be exceeded; nothing is held then
     */
    public boolean tryAcquire(long bytes) {
        if (heldBytes + bytes > maxBytes) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /**
     * Gives bytes back.
     *
     * @param bytes a number of bytes that is held
     */
    public void release(long bytes) {
        heldBytes -= bytes;
    }
}
