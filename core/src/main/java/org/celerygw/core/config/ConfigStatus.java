package org.celerygw.core.config;

/**
 * What one daemon knows about its configuration.
 *
 * @param version the version in force here, 0 for none
 * @param sinceMs since when it is in force here
 * @param announcedVersion the highest version that this daemon has heard of
 * @param confirmedAtMs when the store last confirmed the newest version, 0 for never
 * @param confirmed whether that is recent enough and the newest version is in force
 */
public record ConfigStatus(long version, long sinceMs, long announcedVersion, long confirmedAtMs, boolean confirmed) {}
