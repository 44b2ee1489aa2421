package org.celerygw.core.servers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.celerygw.core.helper.LruMap;

/**
 * Prefers the server that has handled an object lately, while its expected wait costs less than its warm cache saves. Each
 * key has one server by rendezvous hashing; a hot key has as many servers of that order as its load needs, one more or one
 * less at a time, so that hosts that see different shares differ in the last server only. What is saved is learned for
 * each route; without an observed saving there is no preference. Not thread-safe.
 */
public final class CacheAffinity {
    private static final int MAX_WARM = 8_192;
    private static final int MAX_ROUTES = 2_000;
    private static final int MAX_HOT_KEYS = 256;
    private static final int MAX_SERVERS_PER_KEY = 32;
    private static final long WARM_MS = 30_000;
    private static final long GROWTH_INTERVAL_MS = 100;
    private static final long SHRINK_INTERVAL_MS = 1_000;
    /** The load of a hot key that one server takes, as a part of its slots; the server has other keys as well. */
    private static final double TARGET_UTILIZATION = 0.2;
    /** Servers of a hot key shrink in number only if the load falls this much below, so that they do not alternate. */
    private static final double SHRINK_MARGIN = 0.4;

    /** A wait is expected above this part of the slots, since the load from other hosts is inexact. */
    private static final double FREE_SHARE_OF_SLOTS = 0.75;

    private static final double LOAD_SMOOTHING = 0.02;
    /** One request in this many goes to the key's server before a saving is known. */
    private static final int TRIAL_INTERVAL = 8;
    /** One request in this many goes elsewhere while a saving is known, so that its size remains known. */
    private static final int COLD_TRIAL_INTERVAL = 32;

    private final Map<WarmKey, Long> warmAtMs = new LruMap<>(MAX_WARM);
    private final Map<String, CacheSaving> savings = new LruMap<>(MAX_ROUTES);
    private final Map<String, HotKeys> hotKeys = new HashMap<>();
    private final Map<String, Double> loads = new HashMap<>();
    private final Map<KeyOfService, Spread> spreads = new LruMap<>(MAX_HOT_KEYS);
    private long choices;
    private long nextEqual;

    private record WarmKey(String service, String key, String server) {}

    private record KeyOfService(String service, String key) {}

    private static final class Spread {
        int servers = 1;
        long changedAtMs;
    }

    /** Whether the server of a response had handled the object before. */
    public enum Warmth {
        /** This host had a response of the server about the object lately. */
        WARM,
        /** Neither this host nor, by the order of the key, other hosts have sent a request about the object there. */
        COLD,
        /** Other hosts may have sent a request about the object there. */
        UNKNOWN
    }

    /**
     * Selects a server of a key if it saves time.
     *
     * @param candidates the usable servers of a service
     * @param other the server that is selected without affinity
     * @param route the route's name
     * @param key the object's key
     * @param nowMs the current time, in ms
     * @return a server of the key, or the other one
     */
    Optional<TrackedServer> select(
            List<TrackedServer> candidates, Optional<TrackedServer> other, String route, String key, long nowMs) {
        if (candidates.isEmpty() || other.isEmpty()) {
            return other;
        }
        choices++;
        String service = other.get().entry().service();
        hotKeys.computeIfAbsent(service, s -> new HotKeys()).add(key, nowMs);
        double load = candidates.stream().mapToInt(TrackedServer::load).sum();
        loads.merge(service, load, (mean, now) -> mean + LOAD_SMOOTHING * (now - mean));
        CacheSaving saving = savings.computeIfAbsent(route, r -> new CacheSaving());
        double savedMs = saving.savedMs(nowMs);
        if (savedMs == 0) {
            return choices % TRIAL_INTERVAL == 0
                    ? Optional.of(leastLoaded(home(candidates, service, key, nowMs)))
                            .filter(server -> server.load() <= other.get().load() + 1)
                            .or(() -> other)
                    : other;
        }
        if (choices % COLD_TRIAL_INTERVAL == 0) {
            return other;
        }
        TrackedServer warm = leastLoaded(home(candidates, service, key, nowMs));
        double warmMs = expectedMs(warm, saving.warmMs(), saving, nowMs);
        double coldMs = expectedMs(other.get(), saving.coldMs(), saving, nowMs);
        return warmMs <= coldMs ? Optional.of(warm) : other;
    }

    /** Returns the expected completion time at a server: the wait behind the requests that exceed its slots, and the work. */
    private static double expectedMs(TrackedServer server, double workMs, CacheSaving saving, long nowMs) {
        int slots = Math.max(1, server.entry().slots());
        double meanMs = (saving.warmMs() + saving.coldMs()) / 2;
        double ahead = Math.max(0, server.load() + 1 - FREE_SHARE_OF_SLOTS * slots) / slots;
        return server.speed().slowness(nowMs) * (workMs + ahead * meanMs);
    }

    /** Servers with the same load are taken by turns: all hosts would otherwise choose the same. */
    private TrackedServer leastLoaded(List<TrackedServer> home) {
        int least = home.stream().mapToInt(TrackedServer::load).min().orElse(0);
        List<TrackedServer> equal =
                home.stream().filter(server -> server.load() == least).toList();
        return equal.get((int) (nextEqual++ % equal.size()));
    }

    /** Returns the servers of a key: the first of its order, as many as its load needs. */
    private List<TrackedServer> home(List<TrackedServer> candidates, String service, String key, long nowMs) {
        adaptSpread(candidates, service, key, nowMs);
        return serversOf(candidates, service, key, nowMs);
    }

    private List<TrackedServer> serversOf(List<TrackedServer> candidates, String service, String key, long nowMs) {
        Spread spread = spreads.get(new KeyOfService(service, key));
        int servers = spread == null ? 1 : Math.min(spread.servers, candidates.size());
        return servers == 1
                ? Rendezvous.first(candidates, key, EngineSelector.weight(nowMs)).stream()
                        .toList()
                : Rendezvous.order(candidates, key, EngineSelector.weight(nowMs), servers);
    }

    /** Lets the number of a key's servers grow or shrink by one, by the load that the key causes. */
    private void adaptSpread(List<TrackedServer> candidates, String service, String key, long nowMs) {
        HotKeys keys = hotKeys.get(service);
        double share = keys == null ? 0 : keys.share(key);
        double slots = candidates.stream()
                .mapToInt(server -> Math.max(1, server.entry().slots()))
                .average()
                .orElse(1);
        double need = share * loads.getOrDefault(service, 0.0) / (TARGET_UTILIZATION * slots);
        KeyOfService id = new KeyOfService(service, key);
        Spread spread = spreads.get(id);
        if (spread == null && need <= 1) {
            return;
        }
        if (spread == null) {
            spread = new Spread();
            spreads.put(id, spread);
        }
        long unchangedMs = nowMs - spread.changedAtMs;
        if (need > spread.servers && unchangedMs >= GROWTH_INTERVAL_MS) {
            spread.servers++;
            spread.changedAtMs = nowMs;
        } else if (need < spread.servers - 1 - SHRINK_MARGIN && unchangedMs >= SHRINK_INTERVAL_MS) {
            spread.servers--;
            spread.changedAtMs = nowMs;
        }
        spread.servers = Math.max(1, Math.min(MAX_SERVERS_PER_KEY, spread.servers));
    }

    /**
     * Records a complete response about an object.
     *
     * @param server the server
     * @param servers the servers of the service
     * @param route the route's name
     * @param key the object's key
     * @param durationMs the time from sending the request to the end of the response, in ms
     * @param nowMs the current time, in ms
     * @return whether the server had handled the object before
     */
    public Warmth recordResponse(
            TrackedServer server, List<TrackedServer> servers, String route, String key, long durationMs, long nowMs) {
        String service = server.entry().service();
        WarmKey id = new WarmKey(service, key, server.entry().id());
        Long beforeMs = warmAtMs.put(id, nowMs);
        boolean warm = beforeMs != null && beforeMs <= nowMs - durationMs && nowMs - beforeMs <= WARM_MS;
        // A request that was sent before the first response about the object may have been cold or not.
        boolean cold = (beforeMs == null || nowMs - beforeMs > WARM_MS)
                && !serversOf(servers, service, key, nowMs).contains(server);
        double ms = durationMs / server.speed().slowness(nowMs);
        CacheSaving saving = savings.computeIfAbsent(route, r -> new CacheSaving());
        if (warm) {
            saving.addWarm(ms, nowMs);
        } else if (cold) {
            saving.addCold(ms, nowMs);
        }
        return warm ? Warmth.WARM : cold ? Warmth.COLD : Warmth.UNKNOWN;
    }

    /**
     * Returns the time that a warm cache saves on a route.
     *
     * @param route the route's name
     * @param nowMs the current time, in ms
     * @return the time, in ms; 0 if no saving has been observed
     */
    public double savedMs(String route, long nowMs) {
        CacheSaving saving = savings.get(route);
        return saving == null ? 0 : saving.savedMs(nowMs);
    }
}
