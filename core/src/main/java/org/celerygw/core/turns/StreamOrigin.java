package org.celerygw.core.turns;

/**
 * Where a stream that a client resumes began.
 *
 * @param status whether that is known
 * @param softwareVersion the software version of the backend server that ran the first part; empty unless known
 */
public record StreamOrigin(Status status, String softwareVersion) {
    /** Result of looking up a stream. */
    public enum Status {
        /** The version is known. */
        KNOWN,
        /** The store responded and does not tell. */
        UNKNOWN,
        /** The store did not respond in time. */
        UNAVAILABLE
    }

    static final StreamOrigin UNKNOWN = new StreamOrigin(Status.UNKNOWN, "");
    static final StreamOrigin UNAVAILABLE = new StreamOrigin(Status.UNAVAILABLE, "");

    static StreamOrigin known(String softwareVersion) {
        return new StreamOrigin(Status.KNOWN, softwareVersion);
    }
}
