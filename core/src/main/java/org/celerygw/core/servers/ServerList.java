package org.celerygw.core.servers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The registered backend servers. Entries that disappear during or shortly after an outage of the store are retained
 * until {@value #OUTAGE_GRACE_MS} ms after the store is available again, since live servers have registered again by
 * then. An entry that returns later finds what was known of its incarnation. Not thread-safe.
 */
public final class ServerList {
    /** How long a missing entry is retained after the store is available again, in ms. */
    public static final long OUTAGE_GRACE_MS = 2_300;

    private final Map<String, TrackedServer> byId = new HashMap<>();
    private final Map<String, List<TrackedServer>> byService = new HashMap<>();
    private final Map<String, Long> missingSinceMs = new HashMap<>();
    private final LapsedServers lapsed = new LapsedServers();
    private final Consumer<TrackedServer> onRemoved;
    private final Consumer<TrackedServer> onReturned;
    private boolean storeUnavailable;
    private long storeAvailableSinceMs = Long.MIN_VALUE / 2;

    /**
     * Creates an empty list.
     *
     * @param onRemoved called with each incarnation whose entry was removed
     */
    public ServerList(Consumer<TrackedServer> onRemoved) {
        this(onRemoved, server -> {});
    }

    /**
     * Creates an empty list.
     *
     * @param onRemoved called with each incarnation whose entry was removed
     * @param onReturned called with each incarnation whose entry was removed and has returned
     */
    public ServerList(Consumer<TrackedServer> onRemoved, Consumer<TrackedServer> onReturned) {
        this.onRemoved = onRemoved;
        this.onReturned = onReturned;
    }

    /** Records that the store is unavailable. */
    public void onStoreUnavailable() {
        storeUnavailable = true;
    }

    /**
     * Records that the store responded, which ends an outage.
     *
     * @param nowMs the current time, in ms
     */
    public void onStoreAvailable(long nowMs) {
        if (storeUnavailable) {
            storeUnavailable = false;
            storeAvailableSinceMs = nowMs;
        }
    }

    /**
     * Adds or updates an entry. Another incarnation of the server replaces the existing one.
     *
     * @param server the entry as registered
     */
    public void put(BackendServer server) {
        missingSinceMs.remove(server.id());
        TrackedServer existing = byId.get(server.id());
        if (existing != null && existing.entry().sameIncarnation(server)) {
            existing.onRegistered(server);
            return;
        }
        if (existing != null) {
            removeNow(existing);
        }
        TrackedServer returned = lapsed.take(server);
        TrackedServer added = returned == null ? new TrackedServer(server) : returned;
        added.onRegistered(server);
        byId.put(server.id(), added);
        List<TrackedServer> sameService = byService.computeIfAbsent(server.service(), service -> new ArrayList<>());
        sameService.add(added);
        sameService.sort(Comparator.comparing(s -> s.entry().id()));
        if (returned != null) {
            onReturned.accept(returned);
        }
    }

    /**
     * Removes an entry that is no longer registered; during and shortly after an outage of the store, the entry is
     * retained for now. Unknown ids are ignored.
     *
     * @param id the server's id
     * @param nowMs the current time, in ms
     */
    public void remove(String id, long nowMs) {
        if (!byId.containsKey(id)) {
            return;
        }
        if (storeUnavailable || nowMs < storeAvailableSinceMs + OUTAGE_GRACE_MS) {
            missingSinceMs.putIfAbsent(id, nowMs);
        } else {
            lapse(id, nowMs);
        }
    }

    /**
     * Replaces the list by a complete snapshot of the registered servers.
     *
     * @param servers all entries; those that are not among them are removed as by {@link #remove}
     * @param nowMs the current time, in ms
     */
    public void replaceAll(List<BackendServer> servers, long nowMs) {
        Set<String> missingIds = new HashSet<>(byId.keySet());
        servers.forEach(server -> {
            put(server);
            missingIds.remove(server.id());
        });
        missingIds.forEach(id -> remove(id, nowMs));
    }

    /**
     * Removes missing entries after the grace period; must be called several times a second.
     *
     * @param nowMs the current time, in ms
     */
    public void removeExpired(long nowMs) {
        lapsed.removeExpired(nowMs);
        if (storeUnavailable || missingSinceMs.isEmpty() || nowMs < storeAvailableSinceMs + OUTAGE_GRACE_MS) {
            return;
        }
        List.copyOf(missingSinceMs.keySet()).forEach(id -> lapse(id, nowMs));
    }

    /**
     * Returns the servers of a service, usable or not.
     *
     * @param service the service's name
     * @return the servers, ordered by id
     */
    public List<TrackedServer> byService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns the services that have a server.
     *
     * @return their names, in order
     */
    public List<String> services() {
        return byService.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /**
     * Returns the servers of a service that run one version of its software, usable or not.
     *
     * @param service the service's name
     * @param softwareVersion the version; empty for the servers of all versions
     * @return the servers, ordered by id
     */
    public List<TrackedServer> byService(String service, String softwareVersion) {
        List<TrackedServer> all = byService(service);
        return softwareVersion.isEmpty()
                ? all
                : all.stream()
                        .filter(s -> s.entry().softwareVersion().equals(softwareVersion))
                        .toList();
    }

    /**
     * Returns the software versions of a service's usable servers.
     *
     * @param service the service's name
     * @return the number of servers by version, the version of most servers first
     */
    public List<Map.Entry<String, Long>> softwareVersions(String service) {
        return byService(service).stream()
                .filter(TrackedServer::isUsable)
                .collect(Collectors.groupingBy(s -> s.entry().softwareVersion(), Collectors.counting()))
                .entrySet()
                .stream()
                .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                .toList();
    }

    /**
     * Looks up a registered server by id.
     *
     * @param id the server's id
     * @return the server, or null if it is not registered
     */
    public @Nullable TrackedServer byId(String id) {
        return byId.get(id);
    }

    /**
     * Looks up a server by id, also one whose entry has disappeared: for what is learned of it meanwhile.
     *
     * @param id the server's id
     * @return the incarnation that is or was registered last, or null if it is unknown
     */
    public @Nullable TrackedServer knownById(String id) {
        TrackedServer registered = byId.get(id);
        return registered == null ? lapsed.get(id) : registered;
    }

    /**
     * Returns all servers.
     *
     * @return a copy of the list, in no particular order
     */
    public List<TrackedServer> all() {
        return List.copyOf(byId.values());
    }

    private void lapse(String id, long nowMs) {
        TrackedServer server = Objects.requireNonNull(byId.get(id));
        removeNow(server);
        lapsed.add(server, nowMs);
    }

    private void removeNow(TrackedServer server) {
        String id = server.entry().id();
        missingSinceMs.remove(id);
        byId.remove(id);
        List<TrackedServer> sameService = byService.get(server.entry().service());
        sameService.remove(server);
        server.markLeft();
        onRemoved.accept(server);
    }
}
