package org.celerygw.core.turns;

/**
 * Tokens that a turn may generate.
 *
 * @param program the program's id
 * @param turn the turn's id
 * @param maxTokens the most tokens of the turn
 * @param budgetTokens the program's budget
 * @param keepMs how long the program's rows stay after this
 */
public record Reservation(String program, String turn, long maxTokens, long budgetTokens, long keepMs) {}
