package org.celerygw.core.servers;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Picks the backend server for a request. Engines: the same thing goes to the same engine, by highest random weight,
 * first within the own availability zone, as long as that engine has no more than its share; so cached prompts are met
 * without any talk between hosts. Other services: the least loaded server, the own zone first.
 */
public final class Chooser {
    private static final double SHARE = 1.3;
    private static final int SPARE = 3;

    private final String zone;

    /**
     * Makes a chooser for a host.
     *
     * @param zone the host's availability zone
     */
    public Chooser(String zone) {
        this.zone = zone;
    }

    /**
     * Picks an engine.
     *
     * @param servers the service's servers
     * @param thing what should stay together, for example the program's id
     * @param last the server that ran the turn before; empty when unknown
     * @param tried ids of servers that are out of the question
     * @param nowMs the time now, in ms
     * @return the engine; empty when none may be used
     */
    public Optional<Tracked> engine(List<Tracked> servers, String thing, String last, Set<String> tried, long nowMs) {
        List<Tracked> usable = usable(servers, tried, nowMs);
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        double mean = usable.stream().mapToInt(Tracked::load).sum() / (double) usable.size();
        double bound = mean * SHARE + SPARE;
        Optional<Tracked> same = usable.stream()
                .filter(t -> t.server().id().equals(last))
                .filter(t -> t.load() < 2 * bound && hasSlot(t))
                .findFirst();
        if (same.isPresent()) {
            return same;
        }
        Optional<Tracked> home = usable.stream()
                .filter(t -> t.load() < bound && hasSlot(t))
                .max(Comparator.<Tracked>comparingInt(t -> near(t) ? 1 : 0).thenComparing(t -> weight(t, thing)));
        return home.or(() -> leastLoaded(usable));
    }

    /**
     * Picks a server of a service that generates nothing.
     *
     * @param servers the service's servers
     * @param tried ids of servers that are out of the question
     * @param thing what to spread by where all else is the same
     * @param nowMs the time now, in ms
     * @return the server; empty when none may be used
     */
    public Optional<Tracked> plain(List<Tracked> servers, Set<String> tried, String thing, long nowMs) {
        return usable(servers, tried, nowMs).stream()
                .min(Comparator.<Tracked>comparingInt(t -> 2 * t.load() + (near(t) ? 0 : 1))
                        .thenComparing(t -> weight(t, thing)));
    }

    private static List<Tracked> usable(List<Tracked> servers, Set<String> tried, long nowMs) {
        List<Tracked> open = servers.stream()
                .filter(t -> t.usable() && !tried.contains(t.server().id()))
                .toList();
        List<Tracked> awake = open.stream().filter(t -> !t.paused(nowMs)).toList();
        List<Tracked> sound = awake.stream().filter(t -> !t.doubtful(nowMs)).toList();
        if (!sound.isEmpty()) {
            return sound;
        }
        return awake.isEmpty() ? open : awake;
    }

    private static Optional<Tracked> leastLoaded(List<Tracked> servers) {
        return servers.stream().min(Comparator.comparingInt(Tracked::load));
    }

    private static boolean hasSlot(Tracked t) {
        return t.server().slots() <= 0 || t.load() < t.server().slots();
    }

    private boolean near(Tracked t) {
        return t.server().zone().equals(zone);
    }

    private static long weight(Tracked t, String thing) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(t.server().id(), StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(thing, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
