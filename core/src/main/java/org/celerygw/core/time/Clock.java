package org.celerygw.core.time;

/** Tells the time in milliseconds since 1970-01-01 UTC; the only source of time. */
@FunctionalInterface
public interface Clock {
    /**
     * Returns the time now.
     *
     * @return milliseconds since 1970-01-01 UTC
     */
    long nowMs();
}
