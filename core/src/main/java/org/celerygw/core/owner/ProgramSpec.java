package org.celerygw.core.owner;

import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.jspecify.annotations.Nullable;

/**
 * The properties of a program that are set when it is created and never change.
 *
 * @param program the id of the new program
 * @param customer the customer it belongs to
 * @param parent the parent if the program is a sub-agent, else null; a sub-agent spends the budget of its root program
 * @param priorityClass the priority class of its calls
 * @param budgetTokens the maximum number of tokens that it may spend, sub-agents included; ignored for a sub-agent
 * @param deadlineMs the time by which it should have ended, in milliseconds since 1970
 * @param timeToLiveMs the time without a new record of it or its sub-agents after which it expires
 * @param maxTurns the maximum number of calls that it may make
 */
public record ProgramSpec(
        ProgramId program,
        CustomerId customer,
        @Nullable ProgramId parent,
        PriorityClassName priorityClass,
        long budgetTokens,
        long deadlineMs,
        long timeToLiveMs,
        int maxTurns) {}
