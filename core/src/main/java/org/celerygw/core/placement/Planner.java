package org.celerygw.core.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ModelName;

/**
 * Plans which model each engine should serve, one model an engine. A model gains an engine only when its demand
 * stays above what it has, and a donor gives one only when it stays below, each for a holding time, so that demand
 * that swings does not move weights back and forth. At most one engine moves at a time.
 */
public final class Planner {
    private final double gainAbove;
    private final double giveBelow;
    private final long holdMs;
    private final Map<ModelName, Long> shortSinceMs = new HashMap<>();
    private final Map<ModelName, Long> spareSinceMs = new HashMap<>();
    private final Set<ModelName> bad = new HashSet<>();

    /**
     * Makes a planner.
     *
     * @param gainAbove the load of its engines above which a model gains one, such as 0.8
     * @param giveBelow the load that its engines would have without one, below which a model gives one, such as 0.6
     * @param holdMs how long either must last
     */
    public Planner(double gainAbove, double giveBelow, long holdMs) {
        this.gainAbove = gainAbove;
        this.giveBelow = giveBelow;
        this.holdMs = holdMs;
    }

    /**
     * A change to the plan.
     *
     * @param engine the engine that changes
     * @param from the model that it serves
     * @param to the model that it should serve
     * @param line the decision for the log
     */
    public record Move(BackendServerId engine, ModelName from, ModelName to, String line) {}

    /**
     * Marks a version as bad: no engine moves to it any more. An engine that has it is moved back by its steward.
     *
     * @param model the model with its version
     */
    public void markBad(ModelName model) {
        bad.add(model);
    }

    /**
     * Returns the next change, if any.
     *
     * @param plan what each engine should serve now
     * @param demands what is asked for
     * @param nowMs the time now
     * @return at most one change
     */
    public Optional<Move> next(Map<BackendServerId, ModelName> plan, List<ModelDemand> demands, long nowMs) {
        Map<ModelName, Integer> counts = new HashMap<>();
        plan.values().forEach(m -> counts.merge(m, 1, Integer::sum));
        demands.forEach(d -> note(d, counts.getOrDefault(d.model(), 0), nowMs));
        Optional<ModelDemand> taker = demands.stream()
                .filter(d -> !bad.contains(d.model()) && held(shortSinceMs, d, nowMs))
                .max(Comparator.comparingDouble(d -> d.engines() / Math.max(0.5, counts.getOrDefault(d.model(), 0))));
        Optional<ModelDemand> donor = demands.stream()
                .filter(d -> held(spareSinceMs, d, nowMs))
                .min(Comparator.comparingDouble(d -> d.engines() / counts.getOrDefault(d.model(), 1)));
        return taker.flatMap(t -> donor.map(d -> move(plan, d.model(), t.model())));
    }

    private void note(ModelDemand d, int count, long nowMs) {
        boolean tooFew = count < d.minEngines() || d.engines() > gainAbove * count;
        boolean spare = count > Math.max(1, d.minEngines()) && d.engines() < giveBelow * (count - 1);
        mark(shortSinceMs, d.model(), tooFew, nowMs);
        mark(spareSinceMs, d.model(), spare, nowMs);
    }

    private static void mark(Map<ModelName, Long> sinceMs, ModelName model, boolean holds, long nowMs) {
        if (holds) {
            sinceMs.putIfAbsent(model, nowMs);
        } else {
            sinceMs.remove(model);
        }
    }

    private boolean held(Map<ModelName, Long> sinceMs, ModelDemand d, long nowMs) {
        Long since = sinceMs.get(d.model());
        return since != null && nowMs - since >= holdMs;
    }

    private Move move(Map<BackendServerId, ModelName> plan, ModelName from, ModelName to) {
        BackendServerId engine = new TreeMap<>(plan)
                .entrySet().stream()
                        .filter(e -> e.getValue().equals(from))
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseThrow();
        shortSinceMs.remove(to);
        spareSinceMs.remove(from);
        String line = "place: engine " + engine + " from " + from + " to " + to + ": demand above " + gainAbove
                + " and below " + giveBelow + " for " + holdMs + " ms";
        return new Move(engine, from, to, line);
    }
}
