package org.celerygw.core.scheduling;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.celerygw.core.helper.LruMap;
import org.celerygw.core.servers.Placement;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.TrackedServer;

/**
 * The queue of one host in front of engines without room. A request starts at once if an engine has room, waits as long
 * as it can still be answered by its deadline, and is refused otherwise. Programs under way that can still end in time
 * come first, since a program stopped half way has cost its work already: a lower rank and then an earlier deadline before
 * others. All other requests follow, a lower rank and then the newest before others: of new programs, the newest has most
 * of its time left, and a late one gets its turn without holding up all that came after it.
 *
 * <p>While several customers compete, the rank decides first, then whether a customer has received more than its share in
 * the group of hosts, and then the order above; requests of one rank and level are a class of the same precedence, of which
 * hosts tell each other how many wait. Not thread-safe.
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
    private static final double MIN_SHARE_SLOTS = 0.05;
    /** Part of the engines' room that a customer leaves free for each level above its share; docs/design/fair-queueing.md. */
    private static final double RESERVED_SHARE_PER_LEVEL = 0.13;

    /** Part of the room that requests of a lower rank leave free while requests of a higher rank arrive. */
    private static final double RESERVED_SHARE_FOR_RANKS = 0.35;

    private static final long RANK_MEMORY_MS = 1_000;
    /** Longer than one wait, since room that is left free ends the waiting for which it is left free. */
    private static final long SHORTAGE_MEMORY_MS = 5_000;

    private static final int MAX_PRECEDENCES_REPORTED = 16;
    /** A request is refused at once if the expected wait is this many times what it can wait. */
    private static final int WAIT_ESTIMATE_TOLERANCE = 2;

    private static final Comparator<Entry> ORDER = Comparator.<Entry>comparingInt(entry -> entry.underWay ? 0 : 1)
            .thenComparingInt(entry -> entry.request.rank())
            .thenComparingLong(Entry::order)
            .thenComparingLong(entry -> entry.number);
    private static final TreeSet<Entry> NOTHING = new TreeSet<>(ORDER);
    private static final Comparator<Entry> FAIR_ORDER =
            Comparator.<Entry>comparingInt(entry -> entry.precedence).thenComparing(ORDER);

    private final ServerList servers;
    private final ServerSelector selector;
    private final Function<String, QueueLength> peersWaiting;
    private final Function<String, Map<Integer, QueueLength>> peersWaitingByPrecedence;
    private final DoubleSupplier random;
    private final SortedMap<Integer, Long> rankSeenAtMs = new TreeMap<>();
    private final SortedMap<Integer, Long> waitedAtMs = new TreeMap<>();
    private final CompetingCustomers customers = new CompetingCustomers();
    private final Map<String, TreeSet<Entry>> waiting = new HashMap<>();
    private final Map<String, Double> serviceMs = new HashMap<>();
    private final Map<Integer, Boolean> startedPrograms = new LruMap<>(MAX_KNOWN_PROGRAMS);
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
        final int customer;
        int precedence;

        Entry(EngineRequest request, Waiter waiter, boolean underWay, long number) {
            this.request = request;
            this.waiter = waiter;
            this.underWay = underWay;
            this.number = number;
            this.customer = CompetingCustomers.key(request.customer());
        }

        boolean sameCustomerAndRank(Entry other) {
            return customer == other.customer && request.rank() == other.request.rank();
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
        this(servers, selector, peersWaiting, service -> Map.of(), random);
    }

    /**
     * Creates an empty queue.
     *
     * @param servers the engines with their loads
     * @param selector selects an engine that has room
     * @param peersWaiting returns how many requests wait for a service's engines at the other hosts of the group
     * @param peersWaitingByPrecedence returns the same by precedence
     * @param random supplies numbers from 0 (inclusive) to 1 (exclusive)
     */
    public EngineQueue(
            ServerList servers,
            ServerSelector selector,
            Function<String, QueueLength> peersWaiting,
            Function<String, Map<Integer, QueueLength>> peersWaitingByPrecedence,
            DoubleSupplier random) {
        this.servers = servers;
        this.selector = selector;
        this.peersWaiting = peersWaiting;
        this.peersWaitingByPrecedence = peersWaitingByPrecedence;
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
        if (customers.compete(nowMs)) {
            offerFairly(entry, queue, nowMs);
            return;
        }
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

    private void offerFairly(Entry entry, TreeSet<Entry> queue, long nowMs) {
        String service = entry.request.service();
        int ownAhead = (int)
                queue.headSet(entry).stream().filter(entry::sameCustomerAndRank).count();
        entry.precedence = precedence(entry, ownAhead, nowMs);
        int ahead = (int) queue.stream()
                .filter(other -> FAIR_ORDER.compare(other, entry) < 0)
                .count();
        boolean mayPassPeers = peersWaitingByPrecedence.apply(service).entrySet().stream()
                .noneMatch(peers -> waitBefore(peers.getKey(), peers.getValue(), entry) > 0);
        rankSeenAtMs.put(entry.request.rank(), nowMs);
        double reserve = reserve(service, entry.precedence, nowMs);
        boolean hasRoom = reserve == 0 || freeRoom(service, nowMs) > reserve;
        if (ahead == 0 && mayPassPeers && hasRoom && tryStart(entry, Set.of(), nowMs)) {
            return;
        }
        boolean aboveShare = isAboveShare(entry.precedence) && othersWaited(entry.precedence, nowMs);
        long waitMs = expectedWaitMs(service, ahead, nowMs);
        if (aboveShare) {
            waitMs = Math.max(waitMs, shareWaitMs(entry, ownAhead, nowMs));
        }
        // Of a customer above its share, new programs are refused rather than turns of those that have begun.
        int tolerance = aboveShare && !entry.underWay ? 1 : WAIT_ESTIMATE_TOLERANCE;
        if (nowMs + waitMs / tolerance > entry.request.latestStartMs()) {
            entry.waiter.refuse(
                    "cannot start in time on its customer's share: expected wait " + waitMs + " ms",
                    retryAfterMs(waitMs));
        } else {
            waitedAtMs.put(entry.precedence, nowMs);
            queue.add(entry);
        }
    }

    private int precedence(Entry entry, int ownAhead, long nowMs) {
        int level = customers.level(entry.customer, ownAhead * serviceMs(entry.request.service()), nowMs);
        return entry.request.rank() * CompetingCustomers.LEVELS + level;
    }

    /** Returns how many requests of a precedence that wait elsewhere start before a request offered here. */
    private static int waitBefore(int precedence, QueueLength peers, Entry entry) {
        if (precedence != entry.precedence) {
            return precedence < entry.precedence ? peers.underWay() + peers.others() : 0;
        }
        return entry.underWay ? 0 : peers.underWay() + peers.others();
    }

    /** Returns the expected wait of a request above its customer's share, on the slots that the customer gets here. */
    private long shareWaitMs(Entry entry, int ownAhead, long nowMs) {
        String service = entry.request.service();
        double shareSlots = running(service) / (double) customers.count(nowMs);
        double slots = Math.max(customers.slots(entry.customer, nowMs), shareSlots);
        return (long) ((ownAhead + 1) * serviceMs(service) / Math.max(MIN_SHARE_SLOTS, slots));
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

    /**
     * Returns how many requests wait at this host by precedence, while customers compete.
     *
     * @param nowMs the current time, in ms
     * @return the numbers by service and precedence, those that start first; empty unless customers compete
     */
    public Map<String, Map<Integer, QueueLength>> waitingByPrecedence(long nowMs) {
        Map<String, Map<Integer, QueueLength>> lengths = new HashMap<>();
        if (customers.compete(nowMs)) {
            waiting.forEach((service, queue) -> lengths.put(
                    service,
                    queue.stream()
                            .collect(
                                    Collectors.groupingBy(entry -> entry.precedence, TreeMap::new, Collectors.toList()))
                            .entrySet()
                            .stream()
                            .limit(MAX_PRECEDENCES_REPORTED)
                            .collect(Collectors.toMap(Map.Entry::getKey, entries -> length(entries.getValue())))));
        }
        return lengths;
    }

    /**
     * Returns the work that competing customers have received through this host lately, for the other hosts.
     *
     * @param nowMs the current time, in ms
     * @return slot time in ms by the hash of the customer; empty unless requests wait in the group and customers compete,
     *     or if it was reported just before
     */
    public Map<Integer, Double> customerWork(long nowMs) {
        boolean anyWait = hasWaiting()
                || serviceMs.keySet().stream()
                        .anyMatch(service -> !peersWaiting.apply(service).equals(QueueLength.NONE));
        return anyWait ? customers.workToReport(nowMs) : Map.of();
    }

    /**
     * Records the work that customers have received through another host of the group.
     *
     * @param host the other host's name
     * @param workMs slot time in ms by the hash of the customer
     * @param nowMs the current time, in ms
     */
    public void customerWorkElsewhere(String host, Map<Integer, Double> workMs, long nowMs) {
        customers.startedElsewhere(host, workMs, nowMs);
    }

    private static QueueLength length(Collection<Entry> queue) {
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
        trimRecentStarts(nowMs);
        return recentStarts.stream().map(Start::programHash).toList();
    }

    private void trimRecentStarts(long nowMs) {
        while (!recentStarts.isEmpty() && recentStarts.peek().atMs() < nowMs - RECENT_START_MS) {
            recentStarts.remove();
        }
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
                trimRecentStarts(nowMs);
                recentStarts.add(new Start(nowMs, program));
            }
            customers.started(entry.customer, serviceMs(request.service()), nowMs);
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
        if (customers.compete(nowMs)) {
            startFairly(service, queue, nowMs);
            return;
        }
        QueueLength peers = peersWaiting.apply(service);
        QueueLength own = length(queue);
        // Permits are this host's own; only the room of engines without a request limit is shared with the peers.
        int permits = selector.requestPermits(servers.byService(service), queue.size(), nowMs);
        Set<String> reservedServers = new HashSet<>();
        int underWayStarts = permits + share(service, own.underWay(), peers.underWay(), nowMs);
        start(queue, selected(queue, true), underWayStarts, reservedServers, nowMs);
        int left = permits - (own.underWay() - length(queue).underWay());
        if (peers.underWay() + length(queue).underWay() == 0) {
            int otherStarts = left + share(service, own.others(), peers.others(), nowMs);
            start(queue, selected(queue, false), otherStarts, reservedServers, nowMs);
        }
    }

    private static List<Entry> selected(Collection<Entry> queue, boolean underWay) {
        return queue.stream().filter(entry -> entry.underWay == underWay).toList();
    }

    /** Starts requests by precedence; what waits at the hosts of the group before a class leaves it the rest of the room. */
    private void startFairly(String service, TreeSet<Entry> queue, long nowMs) {
        updatePrecedences(queue, nowMs);
        Map<Integer, QueueLength> peers = peersWaitingByPrecedence.apply(service);
        peers.keySet().forEach(precedence -> {
            rankSeenAtMs.put(precedence / CompetingCustomers.LEVELS, nowMs);
            waitedAtMs.put(precedence, nowMs);
        });
        int permits = selector.requestPermits(servers.byService(service), queue.size(), nowMs);
        double room = freeRoom(service, nowMs);
        Map<Integer, List<Entry>> classes = queue.stream()
                .collect(Collectors.groupingBy(entry -> entry.precedence, TreeMap::new, Collectors.toList()));
        Set<String> reservedServers = new HashSet<>();
        int ownBefore = 0;
        for (Map.Entry<Integer, List<Entry>> ofPrecedence : classes.entrySet()) {
            QueueLength alike = peers.getOrDefault(ofPrecedence.getKey(), QueueLength.NONE);
            int peersBefore = peers.entrySet().stream()
                    .filter(entry -> entry.getKey() < ofPrecedence.getKey())
                    .mapToInt(entry ->
                            entry.getValue().underWay() + entry.getValue().others())
                    .sum();
            for (boolean underWay : new boolean[] {true, false}) {
                List<Entry> selected = selected(ofPrecedence.getValue(), underWay);
                double before = ownBefore
                        + peersBefore
                        + (underWay ? 0 : alike.underWay())
                        + reserve(service, ofPrecedence.getKey(), nowMs);
                int peersAlike = underWay ? alike.underWay() : alike.others();
                int starts = permits + part(room - before, selected.size(), peersAlike);
                permits -= Math.min(permits, start(queue, selected, starts, reservedServers, nowMs));
                ownBefore += selected.size();
            }
        }
    }

    /** Returns whether requests that precede a request had to wait lately, so that the room does not suffice for all. */
    private boolean othersWaited(int precedence, long nowMs) {
        return waitedAtMs.headMap(precedence).values().stream().anyMatch(atMs -> nowMs - atMs <= SHORTAGE_MEMORY_MS);
    }

    private static boolean isAboveShare(int precedence) {
        return precedence % CompetingCustomers.LEVELS > 0;
    }

    /** Returns the free room for requests of the mean size of those that wait. */
    private int freeRoom(String service, long nowMs) {
        double meanTokens = waiting.getOrDefault(service, NOTHING).stream()
                .mapToLong(entry -> entry.request.tokens())
                .average()
                .orElse(0);
        return selector.freeRoom(servers.byService(service), (long) meanTokens, nowMs);
    }

    /**
     * Returns the room that less urgent requests and customers above their share leave free for the next of the others:
     * none while the others do not have to wait.
     */
    private double reserve(String service, int precedence, long nowMs) {
        if (!othersWaited(precedence, nowMs)) {
            return 0;
        }
        int level = precedence % CompetingCustomers.LEVELS;
        int rank = precedence / CompetingCustomers.LEVELS;
        boolean moreUrgentArrive =
                !rankSeenAtMs.headMap(rank).values().stream().allMatch(seenAtMs -> nowMs - seenAtMs > RANK_MEMORY_MS);
        double share = RESERVED_SHARE_PER_LEVEL * level + (moreUrgentArrive ? RESERVED_SHARE_FOR_RANKS : 0);
        return share == 0 ? 0 : share * selector.totalRoom(servers.byService(service), nowMs);
    }

    private void updatePrecedences(TreeSet<Entry> queue, long nowMs) {
        Map<Long, Integer> aheadByCustomerAndRank = new HashMap<>();
        for (Entry entry : queue) {
            long key = ((long) entry.customer << Integer.SIZE) + entry.request.rank();
            int ownAhead = aheadByCustomerAndRank.merge(key, 1, Integer::sum) - 1;
            entry.precedence = precedence(entry, ownAhead, nowMs);
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
        double own = proportion(freeRoom(service, nowMs), ownWaiting, peersWaitingAlike);
        double borrowed = selector.borrowableRoom(servers.byService(service), nowMs);
        return roundAtRandom(own + borrowed, ownWaiting);
    }

    private int part(double room, int ownWaiting, int peersWaitingAlike) {
        return ownWaiting == 0 ? 0 : roundAtRandom(proportion(room, ownWaiting, peersWaitingAlike), ownWaiting);
    }

    private static double proportion(double room, int ownWaiting, int peersWaitingAlike) {
        return Math.max(0, room) * ownWaiting / (ownWaiting + peersWaitingAlike);
    }

    private int roundAtRandom(double share, int limit) {
        return Math.min(limit, (int) (share + random.getAsDouble()));
    }

    /** Starts up to {@code count} of the selected requests in their order; returns how many. */
    private int start(TreeSet<Entry> queue, List<Entry> selected, int count, Set<String> reservedServers, long nowMs) {
        int left = count;
        for (Entry entry : selected) {
            if (left <= 0) {
                break;
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
        return count - left;
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
        return (long) ((ahead + 1) * serviceMs(service) / Math.max(1, running(service)));
    }

    private int running(String service) {
        return servers.byService(service).stream()
                .mapToInt(TrackedServer::inFlight)
                .sum();
    }

    private double serviceMs(String service) {
        return serviceMs.getOrDefault(service, DEFAULT_SERVICE_MS);
    }

    /** Spreads the returns of clients that are refused at the same time over as long as the wait takes. */
    private long retryAfterMs(long waitMs) {
        return Math.max(MIN_RETRY_AFTER_MS, waitMs)
                + (long) (random.getAsDouble() * Math.max(MIN_RETRY_AFTER_MS, waitMs));
    }
}
