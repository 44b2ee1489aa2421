package org.celerygw.core.time;

/** The source of the current time; the only one that the other packages use. */
@FunctionalInterface
public interface Clock {
    /**
     * Returns the current time.
     *
     * @return the time in ms since 1970-01-01 UTC
     */
    long nowMs();
}
