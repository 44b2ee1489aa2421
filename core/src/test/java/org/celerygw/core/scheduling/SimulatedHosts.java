package org.celerygw.core.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleBiFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.peers.DigestTargets;
import org.celerygw.core.peers.FleetLoadEstimator;
import org.celerygw.core.peers.HostGroup;
import org.celerygw.core.peers.ReceivedDigest;
import org.celerygw.core.peers.WaitingCodec;
import org.celerygw.core.peers.ZoneRoomCodec;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.SpeedLearner;
import org.celerygw.core.servers.TrackedServer;

/**
 * Hosts that share engines, in simulated time. Programs of several turns arrive at the hosts unevenly; each host
 * schedules turns by what the digests of the others say; each engine runs a few requests at once and queues the rest in
 * order of arrival. A client whose turn is refused comes back when it is told to, a few times.
 */
final class SimulatedHosts {
    static final double SERVICE_MS = 190;

    private static final double NETWORK_MS = 1;
    private static final double CHANGE_DELAY_MS = 15;
    private static final double ROUND_MS = 400;
    private static final int ROUND_SIZE = 6;

    private static final int MAX_ATTEMPTS = 6;
    private static final double SLOWDOWN_PER_REQUEST = 0.03;
    private static final double TARGET_FACTOR = 1.4;
    private static final long TARGET_LATENCY_MS = 250;
    private static final long REQUEST_TIMEOUT_MS = 3_000;
    private static final double POLL_MS = 10;
    /** Until then, hosts that start at the same time do not know each other. */
    private static final double WARM_UP_MS = 5_000;

    private final Random random = new Random(1);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
    private final List<Host> hosts = new ArrayList<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final Options options;
    private final Fleet fleet;
    final List<Double> engineWaitsMs = new ArrayList<>();
    int inTime;
    int late;
    int refused;
    final Map<String, Tally> tallies = new TreeMap<>();
    private Supplier<Kind> kinds;
    private Function<Kind, String> tallyName = kind -> "all";
    private double meanTurns = 0.8 * 3 + 0.2 * 9;
    private double nowMs;

    /**
     * What to simulate.
     *
     * @param sendsChanges whether hosts send a digest on each change of their load, or only periodically
     * @param queues whether hosts queue and refuse requests, or send all of them to the engines at once
     * @param lossRate the share of digests that are lost
     */
    record Options(int hosts, int engines, int slots, boolean sendsChanges, boolean queues, double lossRate) {}

    /**
     * How the zones and engines differ.
     *
     * @param zones the number of zones
     * @param hostZones the number of zones in which hosts are
     * @param slowness returns the slowness of an engine by its index and the time in ms; infinite once it has left
     * @param demand returns the demand of a zone by its index and the time in ms, relative to the others
     * @param helps whether hosts learn speeds and exchange the free room of their zones
     */
    record Fleet(
            int zones,
            int hostZones,
            ToDoubleBiFunction<Integer, Double> slowness,
            ToDoubleBiFunction<Integer, Double> demand,
            boolean helps) {
        private static final Fleet EQUAL = new Fleet(3, 3, (engine, nowMs) -> 1, (zone, nowMs) -> 1, false);
    }

    /** What a program is: its turns, the rank and memory of each, and its customer. */
    record Kind(int turns, int rank, Optional<CustomerId> customer, long tokens) {
        static Kind ofTurns(int turns) {
            return new Kind(turns, turns > 4 ? 0 : 1, Optional.empty(), 0);
        }
    }

    /** How the programs of one kind have ended, by a name that the test chooses. */
    static final class Tally {
        int inTime;
        int late;
        int refused;
        int turns;

        double shareInTime() {
            return inTime / (double) Math.max(1, inTime + late + refused);
        }
    }

    private record Event(double atMs, Runnable action) {}

    /** A program with its turns left. */
    private final class Program {
        final String id = "program-" + random.nextLong();
        final double deadlineMs;
        final Kind kind;
        final Host host;
        final Deque<Double> turnsMs = new ArrayDeque<>();
        int attempts;

        Program(Host host, Kind kind) {
            this.host = host;
            this.kind = kind;
            IntStream.range(0, kind.turns()).forEach(i -> turnsMs.add(SERVICE_MS * (0.4 + 1.2 * random.nextDouble())));
            double idleMs = turnsMs.stream().mapToDouble(Double::doubleValue).sum();
            this.deadlineMs = nowMs + TARGET_FACTOR * idleMs + TARGET_LATENCY_MS;
        }

        void nextTurn() {
            if (turnsMs.isEmpty()) {
                inTime += nowMs <= deadlineMs ? 1 : 0;
                late += nowMs <= deadlineMs ? 0 : 1;
                tally().inTime += nowMs <= deadlineMs ? 1 : 0;
                tally().late += nowMs <= deadlineMs ? 0 : 1;
                return;
            }
            attempts = 0;
            host.serve(this);
        }

        Tally tally() {
            return tallies.computeIfAbsent(tallyName.apply(kind), name -> new Tally());
        }

        void retry(long retryAfterMs) {
            attempts++;
            if (attempts >= MAX_ATTEMPTS) {
                refused++;
                tally().refused++;
            } else {
                at(
                        attempts % 2 == 1 ? retryAfterMs : 100 + 300 * random.nextDouble(),
                        () -> hosts.get(random.nextInt(hosts.size())).serve(this));
            }
        }
    }

    /** An engine with its requests in arrival order. */
    private final class Engine {
        final int index;
        final int slots;
        final Deque<Runnable> queue = new ArrayDeque<>();
        int running;
        double busyMs;
        double sinceMs;
        long heldTokens;
        long maxHeldTokens;

        Engine(int index, int slots) {
            this.index = index;
            this.slots = slots;
        }

        /** Adds the time for which the present number of requests has run. */
        void addBusyTime() {
            busyMs += running * (nowMs - sinceMs);
            sinceMs = nowMs;
        }

        void accept(double durationMs, long tokens, Runnable onEnd) {
            double arrivedMs = nowMs;
            heldTokens += tokens;
            if (heldTokens > maxHeldTokens && nowMs > WARM_UP_MS) {
                maxHeldTokens = heldTokens;
            }
            Runnable run = () -> {
                addBusyTime();
                running++;
                engineWaitsMs.add(nowMs - arrivedMs);
                double slowdown = 1 + SLOWDOWN_PER_REQUEST * running;
                at(durationMs * slowdown * Math.min(10, fleet.slowness().applyAsDouble(index, nowMs)), () -> {
                    addBusyTime();
                    running--;
                    heldTokens -= tokens;
                    onEnd.run();
                    if (!queue.isEmpty()) {
                        queue.poll().run();
                    }
                });
            };
            if (running < slots) {
                run.run();
            } else {
                queue.add(run);
            }
        }
    }

    /** A host with its own view of the fleet's load. */
    private final class Host {
        final String name;
        final String zone;
        final ServerList servers = new ServerList(s -> {});
        final ServerSelector selector;
        final EngineQueue queue;
        final FleetLoadEstimator estimator = new FleetLoadEstimator(ROUND_SIZE, (long) ROUND_MS);
        final DigestTargets targets = new DigestTargets(ROUND_SIZE);
        final Map<Host, ReceivedDigest> digests = new HashMap<>();
        final SpeedLearner learner = new SpeedLearner();
        HostGroup<Host> group = new HostGroup<>(List.of(), 0, 1);
        boolean changePending;
        boolean pollPending;

        Host(String name, String zone) {
            this.name = name;
            this.zone = zone;
            this.selector = new ServerSelector(zone, server -> {});
            this.queue = new EngineQueue(
                    servers, selector, this::waitingAtPeers, this::waitingAtPeersByPrecedence, random::nextDouble);
        }

        void serve(Program program) {
            if (options.queues()) {
                queue.offer(request(program), new Turn(program), (long) nowMs);
                queueChanged();
            } else {
                selector.selectEngine(servers.byService("e"), program.id, "", Set.of(), (long) nowMs)
                        .or(() -> servers.byService("e").stream().min(Comparator.comparingInt(TrackedServer::load)))
                        .ifPresent(new Turn(program)::start);
            }
        }

        private EngineRequest request(Program program) {
            long latestStartMs = (long) (nowMs + REQUEST_TIMEOUT_MS - SERVICE_MS);
            return new EngineRequest(
                    "e",
                    "",
                    program.id,
                    program.id,
                    "",
                    Set.of(),
                    false,
                    program.kind.rank(),
                    latestStartMs,
                    (long) program.deadlineMs,
                    program.kind.customer(),
                    program.kind.tokens());
        }

        /** One turn that is offered to the queue. */
        private final class Turn implements EngineQueue.Waiter {
            final Program program;

            Turn(Program program) {
                this.program = program;
            }

            @Override
            public void start(TrackedServer server) {
                double startedMs = nowMs;
                double durationMs = program.turnsMs.poll();
                int load = server.load();
                long tokens = program.kind.tokens();
                program.tally().turns++;
                server.requestStarted(tokens);
                loadChanged();
                at(NETWORK_MS, () -> engines.get(server.entry().id())
                        .accept(
                                durationMs,
                                tokens,
                                () -> at(NETWORK_MS, () -> {
                                    server.requestEnded(tokens);
                                    queue.recordServiceTime("e", (long) (nowMs - startedMs));
                                    if (fleet.helps()) {
                                        learner.recordResponse(
                                                server, "r", load, (long) (nowMs - startedMs), (long) nowMs);
                                    }
                                    loadChanged();
                                    queue.poll((long) nowMs);
                                    program.nextTurn();
                                })));
            }

            @Override
            public void refuse(String reason, long retryAfterMs) {
                program.retry(retryAfterMs);
            }
        }

        void queueChanged() {
            loadChanged();
            if (queue.hasWaiting() && !pollPending) {
                pollPending = true;
                at(POLL_MS, () -> {
                    pollPending = false;
                    queue.poll((long) nowMs);
                    queueChanged();
                });
            }
        }

        void loadChanged() {
            if (options.sendsChanges() && !changePending) {
                changePending = true;
                at(CHANGE_DELAY_MS, () -> {
                    changePending = false;
                    send(group.peers(), false);
                });
            }
        }

        void runRound() {
            group = HostGroup.of(others(), name, zone, h -> h.name, h -> h.zone);
            selector.setGroup(group.index(), group.count());
            if (fleet.helps()) {
                selector.setHostZones(hosts.stream().map(h -> h.zone).collect(Collectors.toSet()));
            }
            IntStream.range(0, options.engines())
                    .filter(i -> Double.isInfinite(fleet.slowness().applyAsDouble(i, nowMs)))
                    .forEach(i -> servers.remove("e" + i, (long) nowMs));
            send(targets.nextRound(others()), true);
            List<ReceivedDigest> received = new ArrayList<>();
            digests.forEach((host, last) -> received.add(new ReceivedDigest(
                    last.digest(), last.receivedAtMs(), group.peers().contains(host))));
            estimator.updateServers(received, servers, (long) nowMs);
            at(ROUND_MS, this::runRound);
        }

        void send(List<Host> receivers, boolean inRound) {
            Digest digest = Digest.newBuilder()
                    .setHost(name)
                    .putAllWaiting(
                            WaitingCodec.encode(queue.waitingByService(), queue.waitingByPrecedence((long) nowMs)))
                    .addAllCustomerWork(WaitingCodec.encodeWork(queue.customerWork((long) nowMs)))
                    .addAllStarted(queue.recentlyStarted((long) nowMs))
                    .addAllLoads(FleetLoadEstimator.localLoads(servers, (long) nowMs))
                    .addAllZoneRoom(
                            inRound && fleet.helps()
                                    ? ZoneRoomCodec.encode(servers, selector, this::waiting, (long) nowMs)
                                    : List.of())
                    .build();
            receivers.stream()
                    .filter(r -> random.nextDouble() >= options.lossRate())
                    .forEach(r -> at(NETWORK_MS, () -> r.receive(this, digest)));
        }

        private int waiting(String service) {
            QueueLength all = queue.waitingByService()
                    .getOrDefault(service, QueueLength.NONE)
                    .plus(waitingAtPeers(service));
            return all.underWay() + all.others();
        }

        void receive(Host sender, Digest digest) {
            ZoneRoomCodec.apply(digest.getZoneRoomList(), selector.zoneRooms(), (long) nowMs);
            queue.startedElsewhere(digest.getStartedList());
            boolean sameGroup = group.peers().contains(sender);
            if (sameGroup) {
                queue.customerWorkElsewhere(
                        sender.name, WaitingCodec.decodeWork(digest.getCustomerWorkList()), (long) nowMs);
            }
            ReceivedDigest previous = digests.put(sender, new ReceivedDigest(digest, (long) nowMs, sameGroup));
            estimator.applyChange(previous == null ? null : previous.digest(), digest, sameGroup, servers);
        }

        QueueLength waitingAtPeers(String service) {
            return WaitingCodec.sum(groupDigests(), service);
        }

        Map<Integer, QueueLength> waitingAtPeersByPrecedence(String service) {
            return WaitingCodec.sumByPrecedence(groupDigests(), service);
        }

        Stream<Digest> groupDigests() {
            return digests.entrySet().stream()
                    .filter(received -> group.peers().contains(received.getKey()))
                    .map(received -> received.getValue().digest());
        }

        List<Host> others() {
            return hosts.stream().filter(h -> h != this).toList();
        }
    }

    SimulatedHosts(Options options) {
        this(options, Fleet.EQUAL);
    }

    SimulatedHosts(Options options, Fleet fleet) {
        this.options = options;
        this.fleet = fleet;
        IntStream.range(0, options.hosts())
                .forEach(i -> hosts.add(new Host("h" + (100 + i), "z" + i % fleet.hostZones())));
        IntStream.range(0, options.engines()).forEach(i -> {
            engines.put("e" + i, new Engine(i, options.slots()));
            hosts.forEach(h -> h.servers.put(new BackendServer(
                    "e" + i, "e", "127.0.0.1", 1, "z" + i % fleet.zones(), "v1", options.slots(), false, 1)));
        });
        hosts.forEach(h -> at(ROUND_MS * random.nextDouble(), h::runRound));
    }

    /** Lets programs of other kinds arrive, whose ends are counted by name, and returns this. */
    SimulatedHosts withPrograms(Function<Random, Kind> kind, double turnsOnAverage, Function<Kind, String> name) {
        kinds = () -> kind.apply(random);
        meanTurns = turnsOnAverage;
        tallyName = name;
        return this;
    }

    /** Gives the engines a memory that hosts know of, and returns this. */
    SimulatedHosts withMemory(int tokens) {
        hosts.forEach(host -> host.selector.setMemory(service -> tokens));
        return this;
    }

    /** Returns the largest memory that any engine's requests held at a time, in tokens. */
    long maxHeldTokens() {
        return engines.values().stream()
                .mapToLong(engine -> engine.maxHeldTokens)
                .max()
                .orElse(0);
    }

    /** Lets programs arrive that need the given share of the engines' slots, and returns this. */
    SimulatedHosts run(double utilization, double durationMs) {
        double turnsPerMs = options.engines() * options.slots() * utilization / SERVICE_MS;
        double untilMs = nowMs + durationMs;
        scheduleArrival(meanTurns / turnsPerMs, untilMs);
        while (!events.isEmpty() && events.peek().atMs() < untilMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        return this;
    }

    private void scheduleArrival(double meanGapMs, double untilMs) {
        at(-meanGapMs * Math.log(1 - random.nextDouble()), () -> {
            // The exponent makes the first hosts receive several times as many programs as the last ones.
            Host host = hosts.get((int) (hosts.size() * Math.pow(random.nextDouble(), 1.5)));
            while (isTurnedAway(host)) {
                host = hosts.get(random.nextInt(hosts.size()));
            }
            Kind kind = kinds == null ? Kind.ofTurns(random.nextDouble() < 0.8 ? 3 : 9) : kinds.get();
            new Program(host, kind).nextTurn();
            if (nowMs < untilMs) {
                scheduleArrival(meanGapMs, untilMs);
            }
        });
    }

    private boolean isTurnedAway(Host host) {
        double demand = fleet.demand().applyAsDouble(hosts.indexOf(host) % fleet.hostZones(), nowMs);
        return demand < 1 && random.nextDouble() > demand;
    }

    private void at(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, action));
    }

    /** Returns the share of the programs that ended in time; those still running do not count. */
    double shareInTime() {
        return inTime / (double) (inTime + late + refused);
    }

    /** Returns the mean number of requests at the busiest engine, divided by that of all; less than 1 is for none. */
    double busiestOverMean() {
        return engines.values().stream().mapToDouble(e -> e.busyMs).max().orElseThrow()
                / engines.values().stream().mapToDouble(e -> e.busyMs).average().orElseThrow();
    }

    /** Returns how many engines ran no request. */
    long unusedEngines() {
        return engines.values().stream().filter(e -> e.busyMs == 0).count();
    }

    /** Returns a percentile of the time that requests waited at engines, in ms. */
    double engineWaitMs(double fraction) {
        List<Double> sorted = engineWaitsMs.stream().sorted().toList();
        return sorted.get((int) (fraction * (sorted.size() - 1)));
    }
}
