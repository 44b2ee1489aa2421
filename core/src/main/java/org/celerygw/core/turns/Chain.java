package org.celerygw.core.turns;

/**
 * What a new turn continues from.
 *
 * @param status whether the turn named is known
 * @param program the program that holds the turn named
 * @param turn the turn named, as rows name it
 * @param history the inputs and outputs of the whole chain, oldest first
 * @param lastServer the backend server that ran the turn named
 */
public record Chain(Status status, String program, String turn, byte[] history, String lastServer) {
    /** Whether a turn is known. */
    public enum Status {
        /** Its whole chain was read. */
        FOUND,
        /** Fresh reads of every partition show that there is no such turn. */
        MISSING,
        /** The store did not answer, so nobody can tell. */
        UNAVAILABLE
    }

    static final Chain MISSING = new Chain(Status.MISSING, "", "", new byte[0], "");
    static final Chain UNAVAILABLE = new Chain(Status.UNAVAILABLE, "", "", new byte[0], "");

    /** The chain of a turn that continues no other. */
    public static final Chain START = new Chain(Status.FOUND, "", "", new byte[0], "");

    /**
     * Returns whether the turn named belongs to a program.
     *
     * @param programId the program's id
     * @return true when its rows hold the whole chain
     */
    public boolean within(String programId) {
        return program.equals(Keys.safe(programId));
    }
}
