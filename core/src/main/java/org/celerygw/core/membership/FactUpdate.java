package org.celerygw.core.membership;

/**
 * A received fact that is newer than the one known before.
 *
 * @param kind the kind of fact
 * @param subject the backend server's id; empty for a configuration
 * @param version the version of the fact; for a load, its time of observation
 */
public record FactUpdate(Kind kind, String subject, long version) {
    /** The kind of a fact. */
    public enum Kind {
        /** A higher configuration version was accepted by the fleet. */
        CONFIGURATION,
        /** A backend server is leaving. */
        BACKEND_LEAVING,
        /** The leaving mark of a backend server was withdrawn. */
        BACKEND_STAYING,
        /** The load of an engine was observed. */
        BACKEND_LOAD
    }
}
