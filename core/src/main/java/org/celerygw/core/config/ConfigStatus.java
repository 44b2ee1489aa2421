package org.celerygw.core.config;

/**
 * The state of the configuration at one daemon. Times are in milliseconds since 1970.
 *
 * @param version the active version, 0 for none
 * @param activeSinceMs the time at which the version became active at this daemon
 * @param announcedVersion the highest accepted version that this daemon knows of
 * @param confirmedAtMs the time of the last successful read of the newest version from the store, 0 for never
 * @param confirmed whether that read is recent and the newest known version is active
 */
public record ConfigStatus(
        long version, long activeSinceMs, long announcedVersion, long confirmedAtMs, boolean confirmed) {}
