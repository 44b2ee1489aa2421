package org.celerygw.core.config;

/**
 * One thing that is wrong in a proposed configuration.
 *
 * @param field the path of the field, for example {@code backends[2].port}
 * @param kind what is wrong with it
 * @param message one short sentence for the reader
 */
public record ConfigProblem(String field, Kind kind, String message) {
    /** What is wrong with a field. */
    public enum Kind {
        /** It is empty but must not be. */
        MISSING,
        /** It is out of range or malformed. */
        INVALID,
        /** Another entry has the same value. */
        DUPLICATE,
        /** The whole exceeds its size limit. */
        TOO_LARGE
    }
}
