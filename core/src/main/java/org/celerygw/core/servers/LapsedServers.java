package org.celerygw.core.servers;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Servers whose entries have disappeared. An entry also disappears when a live server does not reach the store for a
 * while; what is known of that incarnation is kept here until the entry returns, for {@value #MAX_AGE_MS} ms at most. Not
 * thread-safe.
 */
final class LapsedServers {
    /** Longer than a server that does not reach the store lives on, in ms. */
    static final long MAX_AGE_MS = 600_000;

    private static final int MAX_SERVERS = 2_000;

    /** In the order in which the entries disappeared. */
    private final Map<String, Lapsed> byId = new LinkedHashMap<>();

    private record Lapsed(TrackedServer server, long sinceMs) {}

    void add(TrackedServer server, long nowMs) {
        String id = server.entry().id();
        byId.remove(id);
        byId.put(id, new Lapsed(server, nowMs));
        if (byId.size() > MAX_SERVERS) {
            byId.remove(byId.keySet().iterator().next());
        }
    }

    /** Returns and forgets the server if the entry describes the same incarnation, and forgets it otherwise, too. */
    @Nullable
    TrackedServer take(BackendServer entry) {
        Lapsed lapsed = byId.remove(entry.id());
        return lapsed != null && lapsed.server().entry().sameIncarnation(entry) ? lapsed.server() : null;
    }

    @Nullable
    TrackedServer get(String id) {
        Lapsed lapsed = byId.get(id);
        return lapsed == null ? null : lapsed.server();
    }

    void removeExpired(long nowMs) {
        byId.values().removeIf(lapsed -> nowMs - lapsed.sinceMs() > MAX_AGE_MS);
    }
}
