package org.celerygw.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.ModelName;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the engine for a call. The cost of an engine is the expected time until the last token, from its queue, the
 * prompt tokens that its cache lacks and the decoding, plus the delay that the call causes to the other calls in the
 * batch; the engine of least cost is chosen.
 */
final class Router {
    /**
     * A prompt with at least this many tokens to compute waits for the whole prefill queue of the engine, a shorter
     * one for part.
     */
    private static final double LONG_PROMPT_TOKENS = 2_000;
    /** The added decode time per token in a full batch, as a fraction of the decode time in an empty one. */
    private static final double FULL_BATCH_SLOWDOWN = 0.25;
    /**
     * Lower bound of the average call duration in the estimate of the wait for a batch slot, in which each call above
     * the concurrency limit adds the average duration divided by the limit.
     */
    private static final double MIN_AVERAGE_CALL_MS = 100;

    private final DispatcherSettings settings;
    private final AvailabilityZone zone;
    private final UniformRandomProvider rng;
    private final CallAverages averages;
    private final PrefixIndex prefixIndex;
    private final ProgramPlacements placements;
    private final Map<ModelName, List<EngineState>> enginesByModel = new HashMap<>();
    private final ArrayList<EngineState> candidates = new ArrayList<>();
    private final ArrayList<Integer> cachedBlocks = new ArrayList<>();

    Router(
            DispatcherSettings settings,
            AvailabilityZone zone,
            UniformRandomProvider rng,
            CallAverages averages,
            PrefixIndex prefixIndex,
            ProgramPlacements placements) {
        this.settings = settings;
        this.zone = zone;
        this.rng = rng;
        this.averages = averages;
        this.prefixIndex = prefixIndex;
        this.placements = placements;
    }

    /** How well the chosen engine's cache matches the prompt, for the log. */
    enum Affinity {
        /** No candidate holds more of the prefix than the chosen engine. */
        KEPT("affinity kept"),
        /** Another candidate holds more of the prefix. */
        YIELDED("affinity yielded"),
        /** No candidate is known to hold any of the prefix. */
        NONE("no cache");

        private final String text;

        Affinity(String text) {
            this.text = text;
        }

        String text() {
            return text;
        }
    }

    /** A candidate engine for a call, with the estimates of its cost. */
    record Route(
            EngineState engine,
            int uncachedTokens,
            double queueMs,
            double prefillMs,
            double costMs,
            int cachedBlocks) {}

    void setEngines(List<EngineState> engines) {
        enginesByModel.clear();
        engines.forEach(e -> e.info.models().forEach(m -> enginesByModel
                .computeIfAbsent(m, k -> new ArrayList<>())
                .add(e)));
    }

    List<EngineState> enginesServing(ModelName model) {
        return enginesByModel.getOrDefault(model, List.of());
    }

    /**
     * Returns the route of least cost, or null when the call should stay in the queue.
     *
     * @param queued the call
     * @param nowMs the current time
     */
    @Nullable
    Route selectRoute(QueuedCall queued, long nowMs) {
        WorkItem item = queued.item();
        collectCandidates(item, nowMs);
        // When all candidates are ejected, the ejections are ignored: trying an engine costs less than failing all
        // calls.
        boolean allEjected = candidates.stream().allMatch(e -> e.circuitBreaker.isEjected(nowMs));
        Route cheapest = null;
        Route cheapestWithRoom = null;
        for (int i = 0; i < candidates.size(); i++) {
            EngineState engine = candidates.get(i);
            if (!allEjected && !engine.circuitBreaker.admits(engine.localCalls(), nowMs)) {
                continue;
            }
            Route route = estimateCost(item, engine, cachedBlocks.get(i), nowMs);
            cheapest = cheaper(cheapest, route);
            if (engine.hasRoom(queued.rank(), settings.engineQueue())) {
                cheapestWithRoom = cheaper(cheapestWithRoom, route);
            }
        }
        return routeOrWait(queued, cheapest, cheapestWithRoom, nowMs);
    }

    private static Route cheaper(@Nullable Route a, Route b) {
        return a == null || b.costMs < a.costMs ? b : a;
    }

    /** Returns the route with room, or null while waiting for the cheapest engine is worth the difference in cost. */
    private @Nullable Route routeOrWait(
            QueuedCall queued, @Nullable Route cheapest, @Nullable Route withRoom, long nowMs) {
        if (withRoom == null || cheapest == null || cheapest.engine == withRoom.engine) {
            return withRoom;
        }
        double extraCostMs = withRoom.costMs - cheapest.costMs;
        double waitedMs = nowMs - queued.offeredAtMs();
        return waitedMs >= Math.max((double) settings.minMoveWaitMs(), extraCostMs) ? withRoom : null;
    }

    private void collectCandidates(WorkItem item, long nowMs) {
        candidates.clear();
        cachedBlocks.clear();
        for (ProgramPlacements.CachedPrompt cached : placements.cachedPrompts(item.program())) {
            addCachedPrompt(item, cached, nowMs);
        }
        prefixIndex.forEachMatch(item.prefixHashes(), nowMs, (e, blocks) -> addCandidate(item, e, blocks));
        addSampledEngines(item);
    }

    private void addCachedPrompt(WorkItem item, ProgramPlacements.CachedPrompt cached, long nowMs) {
        List<Long> hashes = item.prefixHashes();
        int blocks = cached.promptBlocks();
        boolean sharesPrefix =
                blocks > 0 && blocks <= hashes.size() && hashes.get(blocks - 1).equals(cached.lastHash());
        if (sharesPrefix && prefixIndex.holds(cached.lastHash(), cached.engine(), nowMs)) {
            addCandidate(item, cached.engine(), Math.min(hashes.size(), blocks + cached.outputBlocks()));
        }
    }

    private void addCandidate(WorkItem item, EngineState engine, int blocks) {
        if (!engine.acceptsWork() || !engine.info.models().contains(item.model())) {
            return;
        }
        int index = candidates.indexOf(engine);
        if (index < 0) {
            candidates.add(engine);
            cachedBlocks.add(blocks);
        } else if (cachedBlocks.get(index) < blocks) {
            cachedBlocks.set(index, blocks);
        }
    }

    private void addSampledEngines(WorkItem item) {
        List<EngineState> serving = enginesServing(item.model());
        if (serving.size() <= 2 * settings.sampledEngines()) {
            serving.forEach(e -> addCandidate(item, e, 0));
            return;
        }
        for (int i = 0; i < settings.sampledEngines(); i++) {
            addCandidate(item, serving.get(rng.nextInt(serving.size())), 0);
        }
    }

    private Route estimateCost(WorkItem item, EngineState engine, int blocks, long nowMs) {
        int uncachedTokens = Math.max(1, item.promptTokens() - blocks * WorkItem.BLOCK_TOKENS);
        // Engines compute short prompts first, so a short prompt waits only for part of the prefill queue.
        double queueFraction = Math.min(1, uncachedTokens / LONG_PROMPT_TOKENS);
        double queueMs =
                engine.queuedPrefillTokens(nowMs) * engine.prefillMsPerToken() * queueFraction + slotWaitMs(engine);
        double prefillMs = uncachedTokens * engine.prefillMsPerToken();
        double outputTokens = Math.min(item.maxOutputTokens(), averages.outputTokens());
        double decodeMs = outputTokens * engine.decodeMsPerToken(averages.decodeMsPerToken(), nowMs);
        // The calls already in the batch are delayed as well, by the prefill and by the fuller batch.
        double interferenceMs = engine.estimatedCalls()
                * (prefillMs * settings.prefillInterference()
                        + decodeMs * FULL_BATCH_SLOWDOWN / engine.concurrencyLimit());
        double zoneMs = engine.info.zone().equals(zone) ? 0 : settings.crossZoneCostMs();
        double costMs = queueMs + prefillMs + decodeMs + interferenceMs + zoneMs;
        return new Route(engine, uncachedTokens, queueMs, prefillMs, costMs, blocks);
    }

    /** Compares a route with the candidates of the last {@link #selectRoute}, which must have returned it. */
    Affinity affinity(Route route) {
        int maxBlocks = 0;
        for (int blocks : cachedBlocks) {
            maxBlocks = Math.max(maxBlocks, blocks);
        }
        if (maxBlocks == 0) {
            return Affinity.NONE;
        }
        return route.cachedBlocks == maxBlocks ? Affinity.KEPT : Affinity.YIELDED;
    }

    /** Estimates the wait of a call without cached prefix inside the least loaded of a few randomly chosen engines. */
    long engineWaitMs(ModelName model, long nowMs) {
        List<EngineState> serving = enginesServing(model);
        double minWaitMs = Double.MAX_VALUE;
        for (int i = 0; i < settings.sampledEngines(); i++) {
            EngineState engine = serving.get(rng.nextInt(serving.size()));
            minWaitMs = Math.min(
                    minWaitMs, engine.queuedPrefillTokens(nowMs) * engine.prefillMsPerToken() + slotWaitMs(engine));
        }
        return (long) minWaitMs;
    }

    private double slotWaitMs(EngineState engine) {
        double excessCalls = engine.estimatedCalls() + 1 - engine.concurrencyLimit();
        return excessCalls <= 0
                ? 0
                : excessCalls * Math.max(MIN_AVERAGE_CALL_MS, averages.callMs()) / engine.concurrencyLimit();
    }
}
