package org.celerygw.daemon.entry;

import org.celerygw.api.gen.owner.Create;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Limits;
import org.celerygw.core.gen.config.PriorityClass;

/** Fills in what the creator of a program left out, and holds the rest to the configured limits. */
public final class ProgramDefaults {
    private static final long BUDGET_TOKENS = 1_000_000;
    private static final long DEADLINE_MS = 3_600_000;
    private static final long TIME_TO_LIVE_MS = 3_600_000;
    private static final int MAX_TURNS = 1_000;

    private final Configuration configuration;
    private final long nowMs;

    /**
     * Takes the defaults and limits of a configuration.
     *
     * @param configuration the configuration in force
     * @param nowMs the time now
     */
    public ProgramDefaults(Configuration configuration, long nowMs) {
        this.configuration = configuration;
        this.nowMs = nowMs;
    }

    /**
     * Returns the request with every field set; 0 and empty fields count as left out.
     *
     * @param asked what the creator asks for
     * @return the whole request
     * @throws GatewayException with code NOT_FOUND when there is no such priority class
     */
    public Create complete(Create asked) {
        Limits limits = configuration.getLimits();
        PriorityClass priorityClass = priorityClass(asked.getPriorityClass());
        long deadlineMs = or(priorityClass.getDefaultDeadlineMs(), DEADLINE_MS);
        long timeToLiveMs = or(limits.getProgramTimeToLiveMs(), TIME_TO_LIVE_MS);
        long maxTurns = or(limits.getMaxTurns(), MAX_TURNS);
        return asked.toBuilder()
                .setPriorityClass(priorityClass.getName())
                .setBudgetTokens(or(asked.getBudgetTokens(), or(limits.getDefaultBudgetTokens(), BUDGET_TOKENS)))
                .setDeadlineMs(or(asked.getDeadlineMs(), nowMs + deadlineMs))
                .setTimeToLiveMs(Math.min(or(asked.getTimeToLiveMs(), timeToLiveMs), timeToLiveMs))
                .setMaxTurns((int) Math.min(or(asked.getMaxTurns(), maxTurns), maxTurns))
                .build();
    }

    private PriorityClass priorityClass(String name) {
        return configuration.getClassesList().stream()
                .filter(c -> name.isEmpty() || c.getName().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new GatewayException(ErrorCode.NOT_FOUND, "There is no priority class of this name."));
    }

    private static long or(long given, long otherwise) {
        return given > 0 ? given : otherwise;
    }
}
