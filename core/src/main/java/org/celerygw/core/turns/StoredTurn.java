package org.celerygw.core.turns;

/**
 * A completed turn with its input and output, as it is stored.
 *
 * @param parentProgram the program of the turn that it continues; empty for the first turn of a chain
 * @param parentTurn the turn that it continues; empty for the first turn of a chain
 * @param input the input that this turn added to the chain
 * @param output the data of each of its events, each followed by a line feed
 * @param server the id of the backend server that ran it
 * @param endedMs when it ended, in ms since 1970-01-01 UTC
 * @param customer the name of the customer that it belongs to; empty if it has none
 */
public record StoredTurn(
        String parentProgram,
        String parentTurn,
        byte[] input,
        byte[] output,
        String server,
        long endedMs,
        String customer) {
    /**
     * Creates a turn that belongs to no customer.
     *
     * @param parentProgram the program of the turn that it continues; empty for the first turn of a chain
     * @param parentTurn the turn that it continues; empty for the first turn of a chain
     * @param input the input that this turn added to the chain
     * @param output the data of each of its events, each followed by a line feed
     * @param server the id of the backend server that ran it
     * @param endedMs when it ended, in ms since 1970-01-01 UTC
     */
    public StoredTurn(
            String parentProgram, String parentTurn, byte[] input, byte[] output, String server, long endedMs) {
        this(parentProgram, parentTurn, input, output, server, endedMs, "");
    }

    /**
     * Returns whether a request may continue this turn.
     *
     * @param reader the name of the customer for which the request acts; empty for none
     * @return true if the turn belongs to that customer or to none
     */
    public boolean isReadableBy(String reader) {
        return customer.isEmpty() || customer.equals(reader);
    }

    /**
     * Returns whether this is the first turn of its chain.
     *
     * @return true if it does not continue another turn
     */
    public boolean isFirst() {
        return parentTurn.isEmpty();
    }
}
