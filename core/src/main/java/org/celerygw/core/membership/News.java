package org.celerygw.core.membership;

/**
 * A fact that is newer than what was known before.
 *
 * @param kind what it is about
 * @param subject the backend server's id; empty for a configuration
 * @param version its version
 */
public record News(Kind kind, String subject, long version) {
    /** What a fact is about. */
    public enum Kind {
        /** A higher version of the configuration was accepted. */
        CONFIGURATION,
        /** A backend server is leaving. */
        BACKEND_LEAVING,
        /** A backend server that was leaving stays after all. */
        BACKEND_STAYING,
        /** An engine's load. */
        BACKEND_LOAD
    }
}
