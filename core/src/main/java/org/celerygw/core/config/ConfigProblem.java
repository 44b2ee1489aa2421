package org.celerygw.core.config;

/**
 * A problem in a proposed configuration. The string form of this record is part of the error message to the operator.
 *
 * @param field the path of the invalid field, for example {@code backends[2].port}
 * @param kind the kind of problem
 * @param message a short description of the problem, for the operator
 */
public record ConfigProblem(String field, Kind kind, String message) {
    /** The kind of problem. */
    public enum Kind {
        /** The field is empty but required. */
        MISSING,
        /** The value is out of range or malformed. */
        INVALID,
        /** Another entry has the same value. */
        DUPLICATE,
        /** The configuration exceeds its size limit. */
        TOO_LARGE
    }
}
