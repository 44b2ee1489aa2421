package org.celerygw.core.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.core.gen.peers.CrashSuspect;

/**
 * The requests under which servers have crashed. A request that was running when its server broke off is a suspect; mostly it did nothing wrong, and then a later run of it succeeds, which clears it. One under which
 * {@value #MAX_CRASHES} servers have crashed at different times, without a success in between, is in quarantine: it is
 * not sent to another server for a while, and then by one host once, as a probe. The same holds for a path, whatever the
 * bodies, but not for long. Hosts tell each other their suspects, so that crashes at different hosts add up. Not
 * thread-safe.
 */
public final class Quarantine {
    /** The number of servers that a request may crash before it is in quarantine. */
    public static final int MAX_CRASHES = 3;

    /** How long a request stays in quarantine, in ms; twice as long for each further crash. */
    static final long MIN_CONTENT_QUARANTINE_MS = 60_000;

    /** The same for a path, on which other requests may be sound. */
    static final long MIN_PATH_QUARANTINE_MS = 8_000;

    /** Clients may send a request again before its last run has crashed a server; servers that fail together do so at once. */
    private static final long SEPARATE_CONTENT_CRASHES_MS = 400;

    /** On a path, sound requests overlap all the time. */
    private static final long SEPARATE_PATH_CRASHES_MS = Long.MAX_VALUE / 4;

    /** The hosts' probes after a quarantine are spread over this part of its length. */
    private static final double PROBE_SPREAD = 0.5;

    private static final int MAX_SUSPECTS = 5_000;
    private static final int MAX_TOLD_SUSPECTS = 64;
    /** The suspects with the most crashes, which are told each time; the others take turns. */
    private static final int ALWAYS_TOLD_SUSPECTS = 32;

    private static final long TOLD_AFTER_CHANGE_MS = 10_000;

    private final String host;
    private final Map<Key, Suspect> suspects = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Suspect> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };

    private int nextInTurn;

    private record Key(long hash, boolean isPath) {
        static Stream<Key> of(Fingerprint request) {
            return Stream.of(new Key(request.path(), true), new Key(request.content(), false));
        }
    }

    /**
     * Creates a quarantine without suspects.
     *
     * @param host this host's name
     */
    public Quarantine(String host) {
        this.host = host;
    }

    /**
     * Returns whether any request is a suspect.
     *
     * @return false if no fingerprint needs to be computed
     */
    public boolean hasSuspects() {
        return !suspects.isEmpty();
    }

    /**
     * Returns how many requests and paths are in quarantine.
     *
     * @return the number
     */
    public long size() {
        return suspects.values().stream().filter(Suspect::inQuarantine).count();
    }

    /**
     * Returns how long a request is still in quarantine.
     *
     * @param request the request
     * @param nowMs the current time, in ms
     * @return the time until it may be sent, in ms; 0 if it may be sent now
     */
    public long remainingMs(Fingerprint request, long nowMs) {
        return Key.of(request)
                .map(suspects::get)
                .filter(Objects::nonNull)
                .mapToLong(suspect -> Math.max(0, suspect.nextProbeMs() - nowMs))
                .max()
                .orElse(0);
    }

    /**
     * Records that a request is sent, which may be a probe.
     *
     * @param request the request
     * @param nowMs the current time, in ms
     * @return whether it is a probe, which the other hosts should hear of soon
     */
    public boolean recordSend(Fingerprint request, long nowMs) {
        List<Suspect> probed = Key.of(request)
                .map(suspects::get)
                .filter(Objects::nonNull)
                .filter(Suspect::inQuarantine)
                .toList();
        probed.forEach(suspect -> suspect.recordSend(nowMs));
        return !probed.isEmpty();
    }

    /**
     * Records that a server broke off while it ran a request.
     *
     * @param request the request
     * @param server identifies the incarnation of the server, at all hosts alike
     * @param sentMs when the request was sent, in ms
     * @param hadResult whether part of a result had arrived, as an event of a stream
     * @param nowMs the current time, in ms
     * @return the number of servers that have crashed under the request or others on its path, one after the other; those
     *     that had given part of a result count half
     */
    public double recordCrash(Fingerprint request, int server, long sentMs, boolean hadResult, long nowMs) {
        return Key.of(request)
                .map(this::suspect)
                .mapToDouble(suspect -> {
                    suspect.addRun(server, sentMs, nowMs, hadResult);
                    return suspect.crashes();
                })
                .max()
                .orElse(0);
    }

    /**
     * Records that a request was answered completely, which clears it.
     *
     * @param request the request
     * @param nowMs the current time, in ms
     */
    public void recordSuccess(Fingerprint request, long nowMs) {
        Key.of(request).map(suspects::get).filter(Objects::nonNull).forEach(suspect -> suspect.addSuccess(nowMs));
    }

    /**
     * Returns the suspects to tell the peers: those with the most crashes, and of these the latest, and some of the others in
     * turn.
     *
     * @param nowMs the current time, in ms
     * @return at most {@value #MAX_TOLD_SUSPECTS} suspects, with the ages of what is known of them
     */
    public List<CrashSuspect> suspectsToTell(long nowMs) {
        List<Map.Entry<Key, Suspect>> toTell = suspects.entrySet().stream()
                .filter(entry -> entry.getValue().lastChangeMs() >= nowMs - TOLD_AFTER_CHANGE_MS
                        || entry.getValue().inQuarantine())
                .sorted(Comparator.<Map.Entry<Key, Suspect>>comparingDouble(
                                entry -> -entry.getValue().crashes())
                        .thenComparingLong(entry -> -entry.getValue().lastChangeMs()))
                .toList();
        int always = Math.min(ALWAYS_TOLD_SUSPECTS, toTell.size());
        int others = toTell.size() - always;
        int inTurn = Math.min(MAX_TOLD_SUSPECTS - always, others);
        int firstInTurn = nextInTurn;
        nextInTurn = others == 0 ? 0 : (firstInTurn + inTurn) % others;
        return IntStream.range(0, always + inTurn)
                .mapToObj(i -> toTell.get(i < always ? i : always + (firstInTurn + i - always) % others))
                .map(entry -> entry.getValue()
                        .encode(entry.getKey().hash(), entry.getKey().isPath(), nowMs))
                .toList();
    }

    /**
     * Adds what a peer tells.
     *
     * @param told the peer's suspects
     * @param nowMs the current time, in ms
     * @param onQuarantined called with the hash of each request or path that is in quarantine now and was not before
     */
    public void addTold(List<CrashSuspect> told, long nowMs, Consumer<Long> onQuarantined) {
        for (CrashSuspect message : told) {
            Suspect suspect = suspect(new Key(message.getRequest(), message.getPath()));
            boolean before = suspect.inQuarantine();
            suspect.addTold(message, nowMs);
            if (!before && suspect.inQuarantine()) {
                onQuarantined.accept(message.getRequest());
            }
        }
    }

    private Suspect suspect(Key key) {
        return suspects.computeIfAbsent(key, k -> {
            long minQuarantineMs = k.isPath() ? MIN_PATH_QUARANTINE_MS : MIN_CONTENT_QUARANTINE_MS;
            return new Suspect(
                    minQuarantineMs,
                    (long) (probeOrder(k) * PROBE_SPREAD * minQuarantineMs),
                    k.isPath() ? SEPARATE_PATH_CRASHES_MS : SEPARATE_CONTENT_CRASHES_MS);
        });
    }

    /** Returns this host's place in the order of probes, between 0 and 1; another one for each request. */
    private double probeOrder(Key key) {
        int hash = Hashing.murmur3_32_fixed()
                .newHasher()
                .putLong(key.hash())
                .putString(host, StandardCharsets.UTF_8)
                .hash()
                .asInt();
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }
}
