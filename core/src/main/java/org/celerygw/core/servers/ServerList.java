package org.celerygw.core.servers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The backend servers known now. Entries that vanish around an outage of the store are kept until
 * {@value #RETURN_GRACE_MS} ms after its return, since servers that live come back by then. Not thread-safe.
 */
public final class ServerList {
    /** How long after the store's return a vanished entry is kept. */
    public static final long RETURN_GRACE_MS = 2_300;

    private final Map<String, Tracked> byId = new HashMap<>();
    private final Map<String, List<Tracked>> byService = new HashMap<>();
    private final Map<String, Long> missingSinceMs = new HashMap<>();
    private final Consumer<Tracked> onLeave;
    private boolean away;
    private long returnedAtMs = Long.MIN_VALUE / 2;

    /**
     * Makes an empty list.
     *
     * @param onLeave told of each incarnation that has left
     */
    public ServerList(Consumer<Tracked> onLeave) {
        this.onLeave = onLeave;
    }

    /** Notes that the store does not answer. */
    public void storeAway() {
        away = true;
    }

    /**
     * Notes an answer of the store.
     *
     * @param nowMs the time now, in ms
     */
    public void storeBack(long nowMs) {
        if (away) {
            away = false;
            returnedAtMs = nowMs;
        }
    }

    /**
     * Takes a new or changed entry.
     *
     * @param server the entry
     */
    public void put(BackendServer server) {
        missingSinceMs.remove(server.id());
        Tracked known = byId.get(server.id());
        if (known != null && known.server().sameIncarnation(server)) {
            known.update(server);
            return;
        }
        if (known != null) {
            drop(known);
        }
        Tracked fresh = new Tracked(server);
        byId.put(server.id(), fresh);
        byService.computeIfAbsent(server.service(), s -> new ArrayList<>()).add(fresh);
    }

    /**
     * Takes the news that an entry is gone.
     *
     * @param id the server's id
     * @param nowMs the time now, in ms
     */
    public void remove(String id, long nowMs) {
        if (!byId.containsKey(id)) {
            return;
        }
        if (away || nowMs < returnedAtMs + RETURN_GRACE_MS) {
            missingSinceMs.putIfAbsent(id, nowMs);
        } else {
            drop(byId.get(id));
        }
    }

    /**
     * Takes all entries at one instant.
     *
     * @param servers the entries; those not among them are gone
     * @param nowMs the time now, in ms
     */
    public void replace(List<BackendServer> servers, long nowMs) {
        Set<String> left = new HashSet<>(byId.keySet());
        servers.forEach(s -> {
            put(s);
            left.remove(s.id());
        });
        left.forEach(id -> remove(id, nowMs));
    }

    /**
     * Drops entries whose grace has passed; to be called several times a second.
     *
     * @param nowMs the time now, in ms
     */
    public void expire(long nowMs) {
        if (away || missingSinceMs.isEmpty() || nowMs < returnedAtMs + RETURN_GRACE_MS) {
            return;
        }
        List.copyOf(missingSinceMs.keySet()).forEach(id -> drop(byId.get(id)));
    }

    /**
     * Returns the servers of a service, usable or not.
     *
     * @param service the service's name
     * @return the servers, in the order in which they became known
     */
    public List<Tracked> of(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /**
     * Returns a server.
     *
     * @param id its id
     * @return the server, or null when it is not known
     */
    public @Nullable Tracked byId(String id) {
        return byId.get(id);
    }

    /**
     * Returns all servers.
     *
     * @return the servers
     */
    public List<Tracked> all() {
        return List.copyOf(byId.values());
    }

    private void drop(Tracked tracked) {
        String id = tracked.server().id();
        missingSinceMs.remove(id);
        byId.remove(id);
        List<Tracked> peers = byService.get(tracked.server().service());
        peers.remove(tracked);
        tracked.leave();
        onLeave.accept(tracked);
    }
}
