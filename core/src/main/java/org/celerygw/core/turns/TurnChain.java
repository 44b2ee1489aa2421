package org.celerygw.core.turns;

/**
 * The chain of turns that a new turn continues, from the first turn to the requested one.
 *
 * @param status whether the requested turn was found
 * @param program the program that holds the requested turn, as an escaped id; empty if there is none
 * @param turn the requested turn, as the escaped id in its row keys; empty if there is none
 * @param history the inputs and outputs of all turns of the chain, oldest first
 * @param lastServer the id of the backend server that ran the requested turn; empty if there is none
 */
public record TurnChain(Status status, String program, String turn, byte[] history, String lastServer) {
    /** Result of looking up a turn. */
    public enum Status {
        /** The complete chain was read. */
        FOUND,
        /** Reads of every partition confirmed that the turn does not exist. */
        MISSING,
        /** The store did not respond or the chain is incomplete, so it is unknown whether the turn can be continued. */
        UNAVAILABLE
    }

    static final TurnChain MISSING = new TurnChain(Status.MISSING, "", "", new byte[0], "");
    static final TurnChain UNAVAILABLE = new TurnChain(Status.UNAVAILABLE, "", "", new byte[0], "");

    /** The empty chain, for a turn that does not continue another one. */
    public static final TurnChain EMPTY = new TurnChain(Status.FOUND, "", "", new byte[0], "");

    /**
     * Returns whether the requested turn is stored under the given program.
     *
     * @param programId the program's id
     * @return true if the program's rows hold the complete chain, so a new turn only needs to refer to its parent
     */
    public boolean belongsTo(String programId) {
        return program.equals(ProgramRowKeys.safeId(programId));
    }
}
