package org.celerygw.core.owner;

import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.jspecify.annotations.Nullable;

/**
 * What is fixed when a program is created.
 *
 * @param program its id
 * @param customer the customer it belongs to
 * @param parent the program whose sub-agent it is, or null; a sub-agent spends its root's budget
 * @param priorityClass its priority class
 * @param budgetTokens the most tokens it may spend, sub-agents included; ignored for a sub-agent
 * @param deadlineMs when it should have ended, in milliseconds since 1970
 * @param timeToLiveMs how long after its last call it is kept before it expires
 * @param maxTurns the most calls it may make
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
