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

/** Where programs have left memory in engines, and the releases still to be confirmed. */
final class Programs {
    private static final int MAX_TAILS = 4;

    private final Map<ProgramId, Trail> live = new HashMap<>();
    private final Map<Release, Long> dueAtMs = new LinkedHashMap<>();

    /** The end of a prompt and answer that an engine computed for a program. */
    record Tail(Engine engine, int blocks, Long hash, int answerBlocks) {}

    private static final class Trail {
        final Set<BackendServerId> engines = new HashSet<>();
        final List<Tail> tails = new ArrayList<>();
    }

    void started(ProgramId program, Engine engine) {
        live.computeIfAbsent(program, p -> new Trail()).engines.add(engine.info.id());
    }

    void answered(ProgramId program, Tail tail) {
        Trail trail = live.get(program);
        if (trail == null) {
            return;
        }
        trail.tails.removeIf(t -> t.engine == tail.engine || t.engine.isGone());
        trail.tails.add(0, tail);
        if (trail.tails.size() > MAX_TAILS) {
            trail.tails.remove(MAX_TAILS);
        }
    }

    List<Tail> tails(ProgramId program) {
        Trail trail = live.get(program);
        return trail == null ? List.of() : trail.tails;
    }

    /** Turns what the program holds into releases, due at once. */
    void ended(ProgramId program, long nowMs) {
        @Nullable Trail trail = live.remove(program);
        if (trail != null) {
            trail.engines.forEach(e -> release(e, program, nowMs));
        }
    }

    void moved(ProgramId program) {
        live.remove(program);
    }

    void release(BackendServerId engine, ProgramId program, long nowMs) {
        dueAtMs.put(new Release(engine, program), nowMs);
    }

    List<Release> due(long nowMs, long retryMs) {
        List<Release> due = dueAtMs.entrySet().stream()
                .filter(e -> e.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(r -> dueAtMs.put(r, nowMs + retryMs));
        return due;
    }

    void confirmed(BackendServerId engine, ProgramId program) {
        dueAtMs.remove(new Release(engine, program));
    }

    void sweep(BackendServerId engine, Collection<ProgramId> held, Predicate<ProgramId> alive, long nowMs) {
        held.stream()
                .filter(p -> !live.containsKey(p) && !alive.test(p))
                .filter(p -> !dueAtMs.containsKey(new Release(engine, p)))
                .forEach(p -> release(engine, p, nowMs));
    }

    void gone(BackendServerId engine) {
        dueAtMs.keySet().removeIf(r -> r.engine().equals(engine));
        live.values().forEach(t -> t.engines.remove(engine));
    }

    boolean isLive(ProgramId program) {
        return live.containsKey(program);
    }
}
