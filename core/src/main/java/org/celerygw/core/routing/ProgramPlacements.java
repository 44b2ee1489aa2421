package org.celerygw.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ProgramId;
import org.jspecify.annotations.Nullable;

/** The engines that hold memory for each program, and the release requests that are not yet confirmed. */
final class ProgramPlacements {
    private static final int MAX_CACHED_PROMPTS = 4;

    private final Map<ProgramId, Placement> placements = new HashMap<>();
    private final Map<ReleaseRequest, Long> releaseDueAtMs = new LinkedHashMap<>();

    /** A prompt and its output that an engine computed for a program and so holds in its prefix cache. */
    record CachedPrompt(EngineState engine, int promptBlocks, Long lastHash, int outputBlocks) {}

    /** The engines that a program has used, and its most recently computed prompts, the latest first. */
    private static final class Placement {
        final Set<BackendServerId> engines = new HashSet<>();
        final List<CachedPrompt> cachedPrompts = new ArrayList<>();
    }

    void callStarted(ProgramId program, EngineState engine) {
        placements.computeIfAbsent(program, p -> new Placement()).engines.add(engine.info.id());
    }

    void callSucceeded(ProgramId program, CachedPrompt prompt) {
        Placement placement = placements.get(program);
        if (placement == null) {
            return;
        }
        placement.cachedPrompts.removeIf(p -> p.engine == prompt.engine || p.engine.isLost());
        placement.cachedPrompts.add(0, prompt);
        if (placement.cachedPrompts.size() > MAX_CACHED_PROMPTS) {
            placement.cachedPrompts.remove(MAX_CACHED_PROMPTS);
        }
    }

    List<CachedPrompt> cachedPrompts(ProgramId program) {
        Placement placement = placements.get(program);
        return placement == null ? List.of() : placement.cachedPrompts;
    }

    /** Schedules the release of all memory that engines hold for the program, due immediately. */
    void programEnded(ProgramId program, long nowMs) {
        @Nullable Placement placement = placements.remove(program);
        if (placement != null) {
            placement.engines.forEach(e -> scheduleRelease(e, program, nowMs));
        }
    }

    void programMoved(ProgramId program) {
        placements.remove(program);
    }

    void scheduleRelease(BackendServerId engine, ProgramId program, long nowMs) {
        releaseDueAtMs.put(new ReleaseRequest(engine, program), nowMs);
    }

    /** Returns the requests that are due and schedules each again after the retry interval. */
    List<ReleaseRequest> dueReleases(long nowMs, long retryIntervalMs) {
        List<ReleaseRequest> due = releaseDueAtMs.entrySet().stream()
                .filter(e -> e.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(r -> releaseDueAtMs.put(r, nowMs + retryIntervalMs));
        return due;
    }

    void releaseConfirmed(BackendServerId engine, ProgramId program) {
        releaseDueAtMs.remove(new ReleaseRequest(engine, program));
    }

    void releaseOrphaned(BackendServerId engine, Collection<ProgramId> held, Predicate<ProgramId> alive, long nowMs) {
        held.stream()
                .filter(p -> !placements.containsKey(p) && !alive.test(p))
                .filter(p -> !releaseDueAtMs.containsKey(new ReleaseRequest(engine, p)))
                .forEach(p -> scheduleRelease(engine, p, nowMs));
    }

    void engineLost(BackendServerId engine) {
        releaseDueAtMs.keySet().removeIf(r -> r.engine().equals(engine));
        placements.values().forEach(p -> p.engines.remove(engine));
    }

    boolean isLive(ProgramId program) {
        return placements.containsKey(program);
    }
}
