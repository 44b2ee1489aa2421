package org.celerygw.core.turns;

/**
 * A turn whose history is kept.
 *
 * @param parentProgram the program of the turn it continues; empty at the start of a chain
 * @param parentTurn the turn it continues; empty at the start of a chain
 * @param input the input that this turn added
 * @param output the data of each of its events, each followed by a line feed
 * @param server the backend server that ran it
 * @param endedMs when it ended, in ms since 1970-01-01 UTC
 */
public record KeptTurn(
        String parentProgram, String parentTurn, byte[] input, byte[] output, String server, long endedMs) {
    /**
     * Returns whether this is the first turn of its chain.
     *
     * @return true when it continues no other turn
     */
    public boolean first() {
        return parentTurn.isEmpty();
    }
}
