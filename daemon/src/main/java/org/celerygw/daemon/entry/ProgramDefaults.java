package org.celerygw.daemon.entry;

import org.celerygw.api.gen.owner.Create;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Limits;
import org.celerygw.core.gen.config.PriorityClass;

/** Sets defaults for unset fields of a request to create a program and caps the others at the configured limits. */
public final class ProgramDefaults {
    private static final long DEFAULT_BUDGET_TOKENS = 1_000_000;
    private static final long DEFAULT_DEADLINE_MS = 3_600_000;
    private static final long DEFAULT_TIME_TO_LIVE_MS = 3_600_000;
    private static final int DEFAULT_MAX_TURNS = 1_000;

    private final Configuration configuration;
    private final long nowMs;

    /**
     * Uses the limits and priority classes of a configuration.
     *
     * @param configuration the active configuration
     * @param nowMs the current time in ms, to which the default deadline is added
     */
    public ProgramDefaults(Configuration configuration, long nowMs) {
        this.configuration = configuration;
        this.nowMs = nowMs;
    }

    /**
     * Returns the request with every field set; fields that are 0 or empty count as unset.
     *
     * @param requested the request as received
     * @return the request with defaults set; time to live and turns are capped at the limits
     * @throws GatewayException with code NOT_FOUND when the configuration has no such priority class
     */
    public Create applyTo(Create requested) {
        Limits limits = configuration.getLimits();
        PriorityClass priorityClass = findPriorityClass(requested.getPriorityClass());
        long deadlineMs = orDefault(priorityClass.getDefaultDeadlineMs(), DEFAULT_DEADLINE_MS);
        long timeToLiveMs = orDefault(limits.getProgramTimeToLiveMs(), DEFAULT_TIME_TO_LIVE_MS);
        long maxTurns = orDefault(limits.getMaxTurns(), DEFAULT_MAX_TURNS);
        return requested.toBuilder()
                .setPriorityClass(priorityClass.getName())
                .setBudgetTokens(orDefault(
                        requested.getBudgetTokens(), orDefault(limits.getDefaultBudgetTokens(), DEFAULT_BUDGET_TOKENS)))
                .setDeadlineMs(orDefault(requested.getDeadlineMs(), nowMs + deadlineMs))
                .setTimeToLiveMs(Math.min(orDefault(requested.getTimeToLiveMs(), timeToLiveMs), timeToLiveMs))
                .setMaxTurns((int) Math.min(orDefault(requested.getMaxTurns(), maxTurns), maxTurns))
                .build();
    }

    private PriorityClass findPriorityClass(String name) {
        return configuration.getClassesList().stream()
                .filter(c -> name.isEmpty() || c.getName().equals(name))
                .findFirst()
                .orElseThrow(() ->
                        new GatewayException(ErrorCode.NOT_FOUND, "No priority class of this name is configured."));
    }

    private static long orDefault(long value, long defaultValue) {
        return value > 0 ? value : defaultValue;
    }
}
