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
 * Chooses the engine for a call: least expected time until its last token, counting the queue, the prompt tokens
 * that the engine's cache lacks, and the slower decoding of a fuller batch.
 */
final class Router {
    /** A prompt with this much to compute waits for all of an engine's queue. */
    private static final double LONG_PROMPT_TOKENS = 2_000;
    /** How much longer a token takes in a full batch than in an empty one. */
    private static final double CROWDING = 0.25;
    /** A call with the whole batch before it waits about this part of a usual call for each place. */
    private static final double MIN_USUAL_CALL_MS = 100;

    private final DispatcherSettings settings;
    private final AvailabilityZone zone;
    private final UniformRandomProvider rng;
    private final Usual usual;
    private final PrefixIndex prefixes;
    private final Programs programs;
    private final Map<ModelName, List<Engine>> byModel = new HashMap<>();
    private final ArrayList<Engine> candidates = new ArrayList<>();
    private final ArrayList<Integer> heldBlocks = new ArrayList<>();

    Router(
            DispatcherSettings settings,
            AvailabilityZone zone,
            UniformRandomProvider rng,
            Usual usual,
            PrefixIndex prefixes,
            Programs programs) {
        this.settings = settings;
        this.zone = zone;
        this.rng = rng;
        this.usual = usual;
        this.prefixes = prefixes;
        this.programs = programs;
    }

    /** What a route means for the program's cache. */
    enum Affinity {
        /** The engine holds as much of the prefix as any. */
        KEPT("affinity kept"),
        /** Another engine holds more of the prefix. */
        YIELDED("affinity yielded"),
        /** No engine is known to hold any of the prefix. */
        NONE("no cache");

        private final String text;

        Affinity(String text) {
            this.text = text;
        }

        String text() {
            return text;
        }
    }

    /** An engine weighed for a call. */
    record Route(Engine engine, int missTokens, double queueMs, double rebuildMs, double costMs, int heldBlocks) {}

    void setEngines(List<Engine> engines) {
        byModel.clear();
        engines.forEach(e -> e.info.models()
                .forEach(m -> byModel.computeIfAbsent(m, k -> new ArrayList<>()).add(e)));
    }

    List<Engine> serving(ModelName model) {
        return byModel.getOrDefault(model, List.of());
    }

    /**
     * Returns the best route now, or null when the call should wait.
     *
     * @param waiting the call
     * @param nowMs the time now
     */
    @Nullable
    Route route(Waiting waiting, long nowMs) {
        WorkItem item = waiting.item();
        gather(item, nowMs);
        // When every engine is ejected, trying one costs less than refusing all work.
        boolean panic = candidates.stream().allMatch(e -> e.health.ejected(nowMs));
        Route best = null;
        Route bestOpen = null;
        for (int i = 0; i < candidates.size(); i++) {
            Engine e = candidates.get(i);
            if (!panic && !e.health.admits(e.ownCalls(), nowMs)) {
                continue;
            }
            Route r = weigh(item, e, heldBlocks.get(i), nowMs);
            best = better(best, r);
            if (e.hasRoom(waiting.rank(), settings.engineQueue())) {
                bestOpen = better(bestOpen, r);
            }
        }
        return settle(waiting, best, bestOpen, nowMs);
    }

    private static Route better(@Nullable Route a, Route b) {
        return a == null || b.costMs < a.costMs ? b : a;
    }

    /** A call waits for a full engine no longer than moving away from it would cost. */
    private @Nullable Route settle(Waiting waiting, @Nullable Route best, @Nullable Route open, long nowMs) {
        if (open == null || best == null || best.engine == open.engine) {
            return open;
        }
        double gainMs = open.costMs - best.costMs;
        double waitedMs = nowMs - waiting.offeredMs();
        return waitedMs >= Math.max((double) settings.moveMarginMs(), gainMs) ? open : null;
    }

    private void gather(WorkItem item, long nowMs) {
        candidates.clear();
        heldBlocks.clear();
        for (Programs.Tail tail : programs.tails(item.program())) {
            addTail(item, tail, nowMs);
        }
        prefixes.match(item.prefixHashes(), nowMs, (e, blocks) -> add(item, e, blocks));
        sample(item);
    }

    private void addTail(WorkItem item, Programs.Tail tail, long nowMs) {
        List<Long> hashes = item.prefixHashes();
        int blocks = tail.blocks();
        boolean continues =
                blocks > 0 && blocks <= hashes.size() && hashes.get(blocks - 1).equals(tail.hash());
        if (continues && prefixes.holds(tail.hash(), tail.engine(), nowMs)) {
            add(item, tail.engine(), Math.min(hashes.size(), blocks + tail.answerBlocks()));
        }
    }

    private void add(WorkItem item, Engine engine, int blocks) {
        if (!engine.takesWork() || !engine.info.models().contains(item.model())) {
            return;
        }
        int at = candidates.indexOf(engine);
        if (at < 0) {
            candidates.add(engine);
            heldBlocks.add(blocks);
        } else if (heldBlocks.get(at) < blocks) {
            heldBlocks.set(at, blocks);
        }
    }

    private void sample(WorkItem item) {
        List<Engine> all = serving(item.model());
        if (all.size() <= 2 * settings.choices()) {
            all.forEach(e -> add(item, e, 0));
            return;
        }
        for (int i = 0; i < settings.choices(); i++) {
            add(item, all.get(rng.nextInt(all.size())), 0);
        }
    }

    private Route weigh(WorkItem item, Engine e, int blocks, long nowMs) {
        int miss = Math.max(1, item.promptTokens() - blocks * WorkItem.BLOCK_TOKENS);
        // Engines compute short prompts first, so that a short one passes most of the queue.
        double passed = Math.min(1, miss / LONG_PROMPT_TOKENS);
        double queueMs = e.queuedTokens(nowMs) * e.prefillMs() * passed + slotWaitMs(e);
        double rebuildMs = miss * e.prefillMs();
        double outputTokens = Math.min(item.maxOutputTokens(), usual.outputTokens());
        double decodeMs = outputTokens * e.tokenMs(usual.tokenMs(), nowMs);
        // The calls already in the batch lose time as well: to each step's prefill, and to a fuller batch.
        double othersMs = e.calls() * (rebuildMs * settings.rebuildWeight() + decodeMs * CROWDING / e.limit());
        double zoneMs = e.info.zone().equals(zone) ? 0 : settings.zoneCostMs();
        double costMs = queueMs + rebuildMs + decodeMs + othersMs + zoneMs;
        return new Route(e, miss, queueMs, rebuildMs, costMs, blocks);
    }

    /** Returns what the route that was chosen last means for the program's cache. */
    Affinity affinity(Route route) {
        int most = 0;
        for (int held : heldBlocks) {
            most = Math.max(most, held);
        }
        if (most == 0) {
            return Affinity.NONE;
        }
        return route.heldBlocks == most ? Affinity.KEPT : Affinity.YIELDED;
    }

    /** Returns how long a call without any cache would wait inside the least loaded of a few engines. */
    long engineWaitMs(ModelName model, long nowMs) {
        List<Engine> all = serving(model);
        double leastMs = Double.MAX_VALUE;
        for (int i = 0; i < settings.choices(); i++) {
            Engine e = all.get(rng.nextInt(all.size()));
            leastMs = Math.min(leastMs, e.queuedTokens(nowMs) * e.prefillMs() + slotWaitMs(e));
        }
        return (long) leastMs;
    }

    private double slotWaitMs(Engine e) {
        double above = e.calls() + 1 - e.limit();
        return above <= 0 ? 0 : above * Math.max(MIN_USUAL_CALL_MS, usual.callMs()) / e.limit();
    }
}
