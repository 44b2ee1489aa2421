package org.celerygw.daemon.send;

import java.util.HashMap;
import java.util.LinkedHashMap;
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

/**
 * Polls the engines for load and cache events, and orders them to release the memory of programs that no longer exist.
 */
final class EngineMonitor {
    private final CallSender.Dependencies dependencies;
    private final EngineTable engines;
    private final Map<BackendServerId, Long> lastSequences = new HashMap<>();

    EngineMonitor(CallSender.Dependencies dependencies, EngineTable engines) {
        this.dependencies = dependencies;
        this.engines = engines;
    }

    void pollLoad() {
        engines.byId().forEach((id, server) -> dependencies
                .backendClient()
                .fetchLoad(
                        EngineTable.address(server),
                        response -> response.ifPresent(load -> dependencies
                                .dispatcher()
                                .loadReported(
                                        id,
                                        new LoadReport(
                                                dependencies.clock().nowMs(),
                                                load.running(),
                                                load.waiting(),
                                                load.waitingTokens(),
                                                0)))));
    }

    void pollCacheEvents() {
        engines.byId().forEach((id, server) -> dependencies
                .backendClient()
                .fetchCacheEvents(
                        EngineTable.address(server), lastSequences.getOrDefault(id, 0L), response -> response.filter(
                                        events -> !events.isEmpty())
                                .ifPresent(events -> applyCacheEvents(id, events))));
    }

    private void applyCacheEvents(BackendServerId id, List<CacheEvent> events) {
        long lastSequence = events.get(events.size() - 1).sequence();
        lastSequences.put(id, lastSequence);
        // Only the last event of a block counts: one batch may report a block as stored and then as evicted.
        Map<Long, Boolean> storedByHash = new LinkedHashMap<>();
        events.forEach(event -> storedByHash.put(event.blockHash(), event.stored()));
        dependencies
                .dispatcher()
                .cacheChanged(
                        id,
                        new CacheEvents(lastSequence, hashes(storedByHash, true), hashes(storedByHash, false)),
                        dependencies.clock().nowMs());
    }

    private static List<Long> hashes(Map<Long, Boolean> storedByHash, boolean stored) {
        return storedByHash.entrySet().stream()
                .filter(entry -> entry.getValue() == stored)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Sends the release orders that are due. An engine that is no longer configured needs none: it counts as done. */
    void sendDueReleases() {
        dependencies.dispatcher().dueReleases(dependencies.clock().nowMs()).forEach(release -> engines.address(
                        release.engine())
                .ifPresentOrElse(
                        address -> dependencies
                                .backendClient()
                                .releaseProgram(address, release.program().value(), confirmed -> {
                                    if (confirmed) {
                                        dependencies.dispatcher().releaseConfirmed(release.engine(), release.program());
                                    }
                                }),
                        () -> dependencies.dispatcher().releaseConfirmed(release.engine(), release.program())));
    }

    void releaseOrphaned(Predicate<ProgramId> isOwned, Predicate<ProgramId> isAlive) {
        engines.byId().forEach((id, server) -> dependencies
                .backendClient()
                .fetchHeldPrograms(
                        EngineTable.address(server),
                        response -> response.ifPresent(names -> releaseOrphaned(id, names, isOwned, isAlive))));
    }

    private void releaseOrphaned(
            BackendServerId id, Set<String> names, Predicate<ProgramId> isOwned, Predicate<ProgramId> isAlive) {
        Set<ProgramId> heldPrograms =
                names.stream().map(ProgramId::new).filter(isOwned).collect(Collectors.toSet());
        dependencies
                .dispatcher()
                .releaseOrphaned(id, heldPrograms, isAlive, dependencies.clock().nowMs());
    }
}
