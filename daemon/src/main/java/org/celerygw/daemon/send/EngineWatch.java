package org.celerygw.daemon.send;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.routing.CacheEvents;
import org.celerygw.core.routing.LoadReport;
import org.celerygw.daemon.backend.CacheEvent;

/** Reads the engines' load and cache events, and orders the release of memory held for programs that are gone. */
final class EngineWatch {
    private final CallSender.Parts parts;
    private final EngineTable engines;
    private final Map<BackendServerId, Long> lastEvents = new HashMap<>();

    EngineWatch(CallSender.Parts parts, EngineTable engines) {
        this.parts = parts;
        this.engines = engines;
    }

    void pollLoad() {
        engines.all().forEach((id, server) -> parts.backends()
                .load(
                        EngineTable.address(server),
                        report -> report.ifPresent(r -> parts.dispatcher()
                                .loadReport(
                                        id,
                                        new LoadReport(
                                                parts.clock().nowMs(),
                                                r.running(),
                                                r.waiting(),
                                                r.waitingTokens(),
                                                0)))));
    }

    void pollCache() {
        engines.all().forEach((id, server) -> parts.backends()
                .cacheEvents(EngineTable.address(server), lastEvents.getOrDefault(id, 0L), events -> events.filter(
                                list -> !list.isEmpty())
                        .ifPresent(list -> takeEvents(id, list))));
    }

    private void takeEvents(BackendServerId id, List<CacheEvent> events) {
        long last = events.get(events.size() - 1).number();
        lastEvents.put(id, last);
        parts.dispatcher()
                .cacheEvents(
                        id,
                        new CacheEvents(last, hashes(events, true), hashes(events, false)),
                        parts.clock().nowMs());
    }

    private static List<Long> hashes(List<CacheEvent> events, boolean stored) {
        return events.stream()
                .filter(e -> e.stored() == stored)
                .map(CacheEvent::blockHash)
                .toList();
    }

    void releases() {
        parts.dispatcher().releases(parts.clock().nowMs()).forEach(r -> engines.address(r.engine())
                .ifPresentOrElse(
                        address -> parts.backends().release(address, r.program().value(), ok -> {
                            if (ok) {
                                parts.dispatcher().released(r.engine(), r.program());
                            }
                        }),
                        () -> parts.dispatcher().released(r.engine(), r.program())));
    }

    void sweep(Predicate<ProgramId> mine, Predicate<ProgramId> alive) {
        engines.all().forEach((id, server) -> parts.backends()
                .heldPrograms(
                        EngineTable.address(server), held -> held.ifPresent(names -> sweep(id, names, mine, alive))));
    }

    private void sweep(BackendServerId id, Set<String> names, Predicate<ProgramId> mine, Predicate<ProgramId> alive) {
        Set<ProgramId> held = names.stream().map(ProgramId::new).filter(mine).collect(Collectors.toSet());
        parts.dispatcher().sweep(id, held, alive, parts.clock().nowMs());
    }
}
