package org.celerygw.core.placement;

import java.util.Optional;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ModelName;
import org.jspecify.annotations.Nullable;

/**
 * Brings one engine to its desired state. Orders are absolute and carry a fencing number, and are repeated until
 * the engine reports the desired state. An engine that ignores fencing may still act on an order of an earlier
 * steward, so a new steward waits until none can be under way and goes by what the engine then reports.
 */
public final class Steward {
    private final BackendServerId engine;
    private final long fence;
    private final Settings settings;
    private final long startAtMs;
    private ModelName desired;
    private ModelName lastGood;
    private @Nullable ModelName reported;
    private long reportedMs = Long.MIN_VALUE;
    private long orderedMs = Long.MIN_VALUE;
    private int failures;
    private boolean rolledBack;

    /**
     * How a steward paces itself.
     *
     * @param longestOrderMs the longest time that an order can be under way
     * @param retryMs how often an order is repeated
     * @param maxFailures loads that may fail before the engine returns to the last good model
     */
    public record Settings(long longestOrderMs, long retryMs, int maxFailures) {}

    /**
     * An order to load a model; it may be repeated.
     *
     * @param engine the engine
     * @param model the model that it must serve
     * @param fence the steward's fencing number; engines that honour it refuse an older one
     * @param line the decision for the log
     */
    public record Order(BackendServerId engine, ModelName model, long fence, String line) {}

    /**
     * Takes over an engine.
     *
     * @param engine the engine
     * @param honoursFencing whether it refuses orders with an old fencing number
     * @param fence this steward's number, higher than any before
     * @param desired the model that the table names for the engine
     * @param lastGood the model that it served well last
     * @param settings the pace
     * @param nowMs the time now
     */
    public Steward(
            BackendServerId engine,
            boolean honoursFencing,
            long fence,
            ModelName desired,
            ModelName lastGood,
            Settings settings,
            long nowMs) {
        this.engine = engine;
        this.fence = fence;
        this.desired = desired;
        this.lastGood = lastGood;
        this.settings = settings;
        this.startAtMs = honoursFencing ? nowMs : nowMs + settings.longestOrderMs();
    }

    /**
     * Changes the desired state; the row in the table comes first.
     *
     * @param model the model to serve
     */
    public void desire(ModelName model) {
        if (model.equals(desired)) {
            return;
        }
        desired = model;
        failures = 0;
        rolledBack = false;
        orderedMs = Long.MIN_VALUE;
    }

    /**
     * The engine reported what it serves.
     *
     * @param model the model
     * @param nowMs the time now
     */
    public void reported(ModelName model, long nowMs) {
        reported = model;
        reportedMs = nowMs;
        if (model.equals(target())) {
            failures = 0;
            lastGood = model;
        }
    }

    /**
     * The engine could not load the model that it was ordered, or its calls fail since it did.
     *
     * @param model the model
     * @return true when the version is bad and the engine goes back to the last good one
     */
    public boolean loadFailed(ModelName model) {
        if (!model.equals(desired) || rolledBack || desired.equals(lastGood)) {
            return false;
        }
        failures++;
        rolledBack = failures >= settings.maxFailures();
        return rolledBack;
    }

    /**
     * Returns the order to send now, if any.
     *
     * @param weights the share of the weight store's rate limit; a token is taken only for an order
     * @param nowMs the time now
     * @return the order
     */
    public Optional<Order> next(WeightShare weights, long nowMs) {
        // What was reported before the wait ended may be the work of an order still under way then.
        boolean known = reported != null && reportedMs >= startAtMs;
        if (nowMs < startAtMs || !known || target().equals(reported)) {
            return Optional.empty();
        }
        boolean due = orderedMs == Long.MIN_VALUE || nowMs - orderedMs >= settings.retryMs();
        if (!due || !weights.take(nowMs)) {
            return Optional.empty();
        }
        orderedMs = nowMs;
        String why = rolledBack ? "rolled back from " + desired + " after " + failures + " failures" : "desired";
        String line = "place: engine " + engine + " loads " + target() + ", had " + reported + ", fence " + fence + ": "
                + why;
        return Optional.of(new Order(engine, target(), fence, line));
    }

    private ModelName target() {
        return rolledBack ? lastGood : desired;
    }
}
