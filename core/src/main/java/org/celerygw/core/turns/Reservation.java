package org.celerygw.core.turns;

/**
 * A request to reserve the tokens that a turn may generate.
 *
 * @param program the program's id
 * @param turn the turn's id
 * @param maxTokens the maximum number of tokens that the turn may use
 * @param budgetTokens the budget of the whole program, in tokens
 * @param retentionMs how long the program's rows are retained after the reservation, in ms
 * @param softwareVersion the software version at which the turn's stream is going to begin; empty if the stream cannot be
 *     resumed
 */
public record Reservation(
        String program, String turn, long maxTokens, long budgetTokens, long retentionMs, String softwareVersion) {}
