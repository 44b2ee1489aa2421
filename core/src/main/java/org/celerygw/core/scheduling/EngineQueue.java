package org.celerygw.core.scheduling;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.celerygw.core.servers.Placement;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.TrackedServer;

/**
 * The queue of one host in front of engines without room. A request starts at once if an engine has room, waits as long
 * as it can still be answered by its deadline, and is refused otherwise. Programs under way that can still end in time
 * come first, since a program stopped half way has cost its work already: a lower rank and then an earlier deadline before
 * others. All other requests follow, a lower rank and then the newest before others: of new programs, the newest has most
 * of its time left, and a late one gets its turn without holding up all that came after it. Not thread-safe.
 *
 * <pre>{@code
 * queue.offer(request, waiter, nowMs);   // calls waiter.start or waiter.refuse, now or in a later poll
 * queue.poll(nowMs);                     // after a request ended or the load of the fleet changed
 * }</pre>
 */
public final class EngineQueue {
    private static final int MAX_KNOWN_PROGRAMS = 20_000;
    private static final long RECENT_START_MS = 1_000;
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double DEFAULT_SERVICE_MS = 200;
    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final double MIN_RATE_PER_S = 0.1;
    /** A request is refused at once if the expected wait is this many times what it can wait. */
    private static final int WAIT_ESTIMATE_TOLERANCE = 2;

    private static final Comparator<Entry> ORDER = Comparator.<Entry>comparingInt(entry -> entry.underWay ? 0 : 1)
            .thenComparingInt(entry -> entry.request.rank())
            .thenComparingLong(Entry::order)
            .thenComparingLong(entry -> entry.number);

    private final ServerList servers;
    private final ServerSelector selector;
    private final Function<String, QueueLength> peersWaiting;
    private final DoubleSupplier random;
    private final Map<String, TreeSet<Entry>> waiting = new HashMap<>();
    private final Map<String, Double> serviceMs = new HashMap<>();
    private final Map<Integer, Boolean> startedPrograms = new LinkedHashMap<>(256, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
            return size() > MAX_KNOWN_PROGRAMS;
        }
    };
    private final Deque<Start> recentStarts = new ArrayDeque<>();
    private long nextNumber;

    /** Receives the decision on a request; called once. */
    public interface Waiter {
        /**
         * The request starts now.
         *
         * @param server the engine to send it to
         */
        void start(TrackedServer server);

        /**
         * The request will not run.
         *
         * @param reason the reason, for the log
         * @param retryAfterMs when the client may try again, in ms from now; 0 if waiting does not help
         */
        void refuse(String reason, long retryAfterMs);
    }

    private record Start(long atMs, int programHash) {}

    private static final class Entry {
        final EngineRequest request;
        final Waiter waiter;
        final boolean underWay;
        final long number;

        Entry(EngineRequest request, Waiter waiter, boolean underWay, long number) {
            this.request = request;
            this.waiter = waiter;
            this.underWay = underWay;
            this.number = number;
        }

        /** Returns what decides among requests of the same rank; lower values start first. */
        long order() {
            return underWay ? request.programDeadlineMs() : -number;
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param servers the engines with their loads
     * @param selector selects an engine that has room
     * @param peersWaiting returns how many requests wait for a service's engines at the other hosts of the group
     * @param random supplies numbers from 0 (inclusive) to 1 (exclusive)
     */
    public EngineQueue(
            ServerList servers,
            ServerSelector selector,
            Function<String, QueueLength> peersWaiting,
            DoubleSupplier random) {
        this.servers = servers;
        this.selector = selector;
        this.peersWaiting = peersWaiting;
        this.random = random;
        selector.setServiceMs(service -> serviceMs.getOrDefault(service, DEFAULT_SERVICE_MS));
    }

    /**
     * Starts a request, queues it, or refuses it.
     *
     * @param request the request
     * @param waiter receives the decision, during this call or a later {@link #poll}
     * @param nowMs the current time, in ms
     */
    public void offer(EngineRequest request, Waiter waiter, long nowMs) {
        if (!hasUsableServer(request, nowMs)) {
            refuseWithoutServer(request, waiter);
            return;
        }
        if (selector.exceedsMemory(request.service(), request.tokens())) {
            waiter.refuse("larger than the memory of an engine: " + request.tokens() + " tokens", 0);
            return;
        }
        Entry entry = createEntry(request, waiter, nowMs);
        TreeSet<Entry> queue = waiting.computeIfAbsent(request.service(), service -> new TreeSet<>(ORDER));
        int ahead = queue.headSet(entry).size();
        // A new program does not pass those that wait at other hosts.
        boolean mayPassPeers =
                entry.underWay || peersWaiting.apply(request.service()).equals(QueueLength.NONE);
        if (ahead == 0 && mayPassPeers && tryStart(entry, Set.of(), nowMs)) {
            return;
        }
        long waitMs = expectedWaitMs(request.service(), ahead, nowMs);
        if (nowMs + waitMs / WAIT_ESTIMATE_TOLERANCE > entry.request.latestStartMs()) {
            waiter.refuse("cannot start in time: expected wait " + waitMs + " ms", retryAfterMs(waitMs));
        } else {
            queue.add(entry);
        }
    }

    private List<TrackedServer> engines(EngineRequest request) {
        return servers.byService(request.service(), request.softwareVersion());
    }

    private boolean hasUsableServer(EngineRequest request, long nowMs) {
        return selector.hasUsableServer(engines(request), request.triedServers(), nowMs);
    }

    /** A client that waits does not bring back the version that its stream began at: it had better start anew at once. */
    private void refuseWithoutServer(EngineRequest request, Waiter waiter) {
        if (request.softwareVersion().isEmpty()) {
            waiter.refuse("no backend server available", retryAfterMs(MIN_RETRY_AFTER_MS));
        } else {
            waiter.refuse("no backend server of software version " + request.softwareVersion() + " available", 0);
        }
    }

    private Entry createEntry(EngineRequest request, Waiter waiter, long nowMs) {
        boolean underWay = isStarted(request) && request.programDeadlineMs() > nowMs;
        return new Entry(request, waiter, underWay, nextNumber++);
    }

    /**
     * Starts as many waiting requests as this host's share of the free room allows, and refuses those that can no longer
     * be served in time.
     *
     * @param nowMs the current time, in ms
     */
    public void poll(long nowMs) {
        for (Map.Entry<String, TreeSet<Entry>> queue : List.copyOf(waiting.entrySet())) {
            if (!queue.getValue().isEmpty()) {
                refuseExpired(queue.getKey(), queue.getValue(), nowMs);
                startWaiting(queue.getKey(), queue.getValue(), nowMs);
            }
        }
    }

    /**
     * Removes a waiting request, whose client has left; does nothing if it does not wait.
     *
     * @param waiter the waiter with which it was offered
     */
    public void remove(Waiter waiter) {
        waiting.values().forEach(queue -> queue.removeIf(entry -> entry.waiter == waiter));
    }

    /**
     * Records how long an engine took to answer a request completely.
     *
     * @param service the engine's service
     * @param durationMs the time from sending the request to the end of the answer, in ms
     */
    public void recordServiceTime(String service, long durationMs) {
        serviceMs.merge(
                service,
                (double) durationMs,
                (averageMs, sampleMs) -> averageMs + SMOOTHING_FACTOR * (sampleMs - averageMs));
    }

    /**
     * Returns whether any request waits at this host.
     *
     * @return false if a poll would do nothing
     */
    public boolean hasWaiting() {
        return waiting.values().stream().anyMatch(queue -> !queue.isEmpty());
    }

    /**
     * Returns how many requests wait at this host for the next free room.
     *
     * @return the numbers by service, without services for which none waits
     */
    public Map<String, QueueLength> waitingByService() {
        Map<String, QueueLength> lengths = new HashMap<>();
        waiting.forEach((service, queue) -> {
            QueueLength length = length(queue);
            if (!length.equals(QueueLength.NONE)) {
                lengths.put(service, length);
            }
        });
        return lengths;
    }

    private static QueueLength length(TreeSet<Entry> queue) {
        int underWay = (int) queue.stream().filter(entry -> entry.underWay).count();
        return new QueueLength(underWay, queue.size() - underWay);
    }

    /**
     * Returns the programs that this host has just started, for the other hosts.
     *
     * @param nowMs the current time, in ms
     * @return hashes of their ids
     */
    public List<Integer> recentlyStarted(long nowMs) {
        while (!recentStarts.isEmpty() && recentStarts.peek().atMs() < nowMs - RECENT_START_MS) {
            recentStarts.remove();
        }
        return recentStarts.stream().map(Start::programHash).toList();
    }

    /**
     * Records that programs were started at another host, so that their later turns count as under way here as well.
     *
     * @param programHashes hashes of their ids
     */
    public void startedElsewhere(List<Integer> programHashes) {
        programHashes.forEach(hash -> startedPrograms.put(hash, true));
    }

    private boolean isStarted(EngineRequest request) {
        return request.continuesTurn() || startedPrograms.containsKey(hash(request.program()));
    }

    private static int hash(String program) {
        return Hashing.murmur3_32_fixed()
                .hashString(program, StandardCharsets.UTF_8)
                .asInt();
    }

    private boolean tryStart(Entry entry, Set<String> reservedServers, long nowMs) {
        EngineRequest request = entry.request;
        Optional<TrackedServer> server =
                selector.selectEngine(engines(request), placement(request).excluding(reservedServers), nowMs);
        server.ifPresent(selected -> {
            int program = hash(request.program());
            if (!request.program().isEmpty() && startedPrograms.put(program, true) == null) {
                recentStarts.add(new Start(nowMs, program));
            }
            entry.waiter.start(selected);
        });
        return server.isPresent();
    }

    private static Placement placement(EngineRequest request) {
        return new Placement(
                request.affinityKey(),
                request.previousServer(),
                request.triedServers(),
                request.tokens(),
                request.sharedParts());
    }

    private void refuseExpired(String service, TreeSet<Entry> queue, long nowMs) {
        List<Entry> expired = queue.stream()
                .filter(entry -> entry.request.latestStartMs() < nowMs)
                .toList();
        expired.forEach(entry -> {
            queue.remove(entry);
            long waitMs = expectedWaitMs(service, queue.size(), nowMs);
            entry.waiter.refuse("waited until it could not start in time any more", retryAfterMs(waitMs));
        });
    }

    private void startWaiting(String service, TreeSet<Entry> queue, long nowMs) {
        QueueLength peers = peersWaiting.apply(service);
        QueueLength own = length(queue);
        // Permits are this host's own; only the room of engines without a request limit is shared with the peers.
        int permits = selector.requestPermits(servers.byService(service), queue.size(), nowMs);
        start(queue, true, permits + share(service, own.underWay(), peers.underWay(), nowMs), nowMs);
        int left = permits - (own.underWay() - length(queue).underWay());
        if (peers.underWay() + length(queue).underWay() == 0) {
            start(queue, false, left + share(service, own.others(), peers.others(), nowMs), nowMs);
        }
    }

    /**
     * Returns how many of its waiting requests this host may start: a part of the free room in proportion to its part of
     * all waiting requests, rounded up or down at random, so that the hosts together start about as many as there is room.
     */
    private int share(String service, int ownWaiting, int peersWaitingAlike, long nowMs) {
        if (ownWaiting == 0) {
            return 0;
        }
        double room = selector.freeRoom(servers.byService(service), nowMs);
        double share = room * ownWaiting / (ownWaiting + peersWaitingAlike)
                + selector.borrowableRoom(servers.byService(service), nowMs);
        return Math.min(ownWaiting, (int) (share + random.getAsDouble()));
    }

    private void start(TreeSet<Entry> queue, boolean underWay, int count, long nowMs) {
        int left = count;
        Set<String> reservedServers = new HashSet<>();
        for (Entry entry : List.copyOf(queue)) {
            if (left <= 0 || entry.underWay != underWay) {
                continue;
            }
            queue.remove(entry);
            EngineRequest request = entry.request;
            if (tryStart(entry, reservedServers, nowMs)) {
                left--;
            } else if (hasUsableServer(request, nowMs)) {
                queue.add(entry);
                // Small requests that come later would otherwise take all memory before enough is free for this one.
                selector.nextWithMemory(engines(request), placement(request).excluding(reservedServers), nowMs)
                        .ifPresent(server -> reservedServers.add(server.entry().id()));
            } else {
                refuseWithoutServer(request, entry.waiter);
            }
        }
    }

    /**
     * Returns the expected wait of a request behind others. Each of the requests that this host runs makes room for one
     * when it ends; if all engines have a request limit, those that wait at any host share the sum of the limits.
     */
    private long expectedWaitMs(String service, int ahead, long nowMs) {
        double limitPerS = selector.limitPerS(servers.byService(service), nowMs);
        if (limitPerS < Double.POSITIVE_INFINITY) {
            QueueLength peers = peersWaiting.apply(service);
            return (long)
                    ((ahead + 1 + peers.underWay() + peers.others()) * 1_000 / Math.max(MIN_RATE_PER_S, limitPerS));
        }
        int running = servers.byService(service).stream()
                .mapToInt(TrackedServer::inFlight)
                .sum();
        return (long) ((ahead + 1) * serviceMs.getOrDefault(service, DEFAULT_SERVICE_MS) / Math.max(1, running));
    }

    /** Spreads the returns of clients that are refused at the same time over as long as the wait takes. */
    private long retryAfterMs(long waitMs) {
        return Math.max(MIN_RETRY_AFTER_MS, waitMs)
                + (long) (random.getAsDouble() * Math.max(MIN_RETRY_AFTER_MS, waitMs));
    }
}
