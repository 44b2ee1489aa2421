package org.celerygw.standin.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.Datagram;
import org.celerygw.core.membership.Endpoint;
import org.celerygw.core.membership.FactUpdate;
import org.celerygw.core.membership.Member;
import org.celerygw.core.membership.MemberChange;
import org.celerygw.core.membership.Membership;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.core.membership.MembershipOutput;
import org.celerygw.core.membership.MembershipSettings;

/**
 * Runs the memberships of many daemons over a simulated network in simulated time, reproducibly from one seed.
 *
 * <pre>{@code
 * SimulatedFleet fleet = new SimulatedFleet(1, 3);
 * fleet.startNodes(50);
 * fleet.runForMs(10_000);
 * fleet.kill(fleet.nodes().get(3));
 * }</pre>
 */
public final class SimulatedFleet {
    /** The interval between two ticks of a node. */
    public static final long TICK_MS = 50;

    private static final int FIRST_PORT = 9000;
    private static final MembershipKeys KEYS =
            MembershipKeys.single(ByteString.copyFromUtf8("a shared key for model fleets"));

    private final UniformRandomProvider random;
    private final int zones;
    private final MembershipSettings settings = MembershipSettings.defaults("model");
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Map<Endpoint, SimulatedNode> byEndpoint = new HashMap<>();
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledEvent::dueMs).thenComparingLong(ScheduledEvent::sequence));
    private final List<ObservedChange> memberChanges = new ArrayList<>();
    private final List<ReceivedFact> receivedFacts = new ArrayList<>();
    private long nowMs = 1_000_000;
    private long eventsScheduled;
    private double lossRate;
    private double duplicationRate;
    private long delayMs = 1;
    private long jitterMs = 1;
    private BiPredicate<SimulatedNode, SimulatedNode> blockedPaths = (a, b) -> false;

    /**
     * Creates an empty fleet.
     *
     * @param seed the seed of all random choices
     * @param zones the number of availability zones over which daemons are distributed
     */
    public SimulatedFleet(long seed, int zones) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.zones = zones;
    }

    /**
     * Sets the share of datagrams that are lost at random.
     *
     * @param share a share from 0 to 1
     * @return this fleet
     */
    public SimulatedFleet setLossRate(double share) {
        lossRate = share;
        return this;
    }

    /**
     * Sets the share of datagrams that are delivered twice.
     *
     * @param share a share from 0 to 1
     * @return this fleet
     */
    public SimulatedFleet setDuplicationRate(double share) {
        duplicationRate = share;
        return this;
    }

    /**
     * Sets the delivery delay of datagrams; a random part also reorders them.
     *
     * @param minMs the minimum delay
     * @param spreadMs the upper bound of the random delay added to the minimum
     * @return this fleet
     */
    public SimulatedFleet setDelay(long minMs, long spreadMs) {
        delayMs = minMs;
        jitterMs = spreadMs;
        return this;
    }

    /**
     * Blocks network paths, separately for each direction.
     *
     * @param blocked returns true for a sender and a receiver between which all datagrams are lost
     * @return this fleet
     */
    public SimulatedFleet blockPaths(BiPredicate<SimulatedNode, SimulatedNode> blocked) {
        blockedPaths = blocked;
        return this;
    }

    /**
     * Starts daemons at new addresses, each with up to three running daemons as its seeds.
     *
     * @param count the number of daemons to start
     * @return the daemons that were started
     */
    public List<SimulatedNode> startNodes(int count) {
        List<SimulatedNode> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            started.add(start(FIRST_PORT + nodes.size(), "v1"));
        }
        return started;
    }

    /**
     * Starts a new incarnation of a daemon at the same address, stopping the old one if it is still running.
     *
     * @param old the daemon to replace
     * @return the new incarnation
     */
    public SimulatedNode restart(SimulatedNode old) {
        old.stop();
        return start(old.endpoint().port(), "v2");
    }

    /**
     * Stops a daemon without notifying the others, as in a crash.
     *
     * @param node the daemon
     */
    public void kill(SimulatedNode node) {
        node.stop();
    }

    /**
     * Stops a daemon after it has announced its departure to other daemons.
     *
     * @param node the daemon
     */
    public void leave(SimulatedNode node) {
        process(node, node.membership().leave(nowMs));
        node.stop();
    }

    /**
     * Pauses a daemon; datagrams that arrive during the pause are buffered and handled after it.
     *
     * @param node the daemon
     * @param durationMs the length of the pause
     */
    public void pause(SimulatedNode node, long durationMs) {
        node.pausedUntilMs = nowMs + durationMs;
    }

    /**
     * Sets the addresses of all running daemons as the seeds of each, as an up-to-date host list of the platform does.
     */
    public void refreshHostList() {
        List<Endpoint> seeds = runningNodes().map(SimulatedNode::endpoint).toList();
        runningNodes().forEach(n -> n.membership().setSeeds(seeds));
    }

    /**
     * Schedules an action in simulated time.
     *
     * @param delayMs the delay from the current simulated time
     * @param action the action to run
     */
    public void schedule(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    /**
     * Runs the simulation for a duration.
     *
     * @param durationMs the duration in simulated time
     */
    public void runForMs(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!events.isEmpty() && events.peek().dueMs() <= endMs) {
            ScheduledEvent event = events.remove();
            nowMs = event.dueMs();
            event.action().run();
        }
        nowMs = endMs;
    }

    /**
     * Runs the simulation until a condition holds.
     *
     * @param condition the condition, evaluated once per tick interval
     * @param maxMs the maximum duration in simulated time
     * @return the simulated time until the condition held, or -1 if it did not hold in time
     */
    public long runUntil(BooleanSupplier condition, long maxMs) {
        long startMs = nowMs;
        while (nowMs < startMs + maxMs) {
            if (condition.getAsBoolean()) {
                return nowMs - startMs;
            }
            runForMs(TICK_MS);
        }
        return condition.getAsBoolean() ? nowMs - startMs : -1;
    }

    /**
     * Returns the current simulated time.
     *
     * @return the time in milliseconds
     */
    public long nowMs() {
        return nowMs;
    }

    /**
     * Returns the running daemons, including paused ones.
     *
     * @return the running daemons in the order of their start
     */
    public Stream<SimulatedNode> runningNodes() {
        return nodes.stream().filter(SimulatedNode::running);
    }

    /**
     * Returns all daemons that were started, including stopped ones.
     *
     * @return the daemons in the order of their start
     */
    public List<SimulatedNode> nodes() {
        return nodes;
    }

    /**
     * Returns whether the member list of every running daemon consists of exactly the running daemons.
     *
     * @return true if all member lists are correct
     */
    public boolean hasConverged() {
        List<HostId> expected =
                runningNodes().map(SimulatedNode::hostId).sorted().toList();
        return runningNodes().allMatch(n -> n.membership().members().stream()
                .map(Member::host)
                .toList()
                .equals(expected));
    }

    /**
     * Returns the membership changes that daemons reported.
     *
     * @return the reports in chronological order
     */
    public List<ObservedChange> memberChanges() {
        return memberChanges;
    }

    /**
     * Returns the facts that daemons received.
     *
     * @return the reports in chronological order
     */
    public List<ReceivedFact> receivedFacts() {
        return receivedFacts;
    }

    /**
     * A membership change reported by one daemon.
     *
     * @param observer the daemon that reported the change
     * @param change the reported change
     */
    public record ObservedChange(SimulatedNode observer, MemberChange change) {}

    /**
     * A fact received by one daemon.
     *
     * @param receiver the daemon that received the fact
     * @param fact the received fact
     * @param receivedAtMs the simulated time of receipt
     */
    public record ReceivedFact(SimulatedNode receiver, FactUpdate fact, long receivedAtMs) {}

    private SimulatedNode start(int port, String release) {
        int number = nodes.size();
        Member self = new Member(
                new HostId("host-" + port + "-" + number),
                "10.0.0.1",
                port,
                20_000 + port % 10_000,
                30_000 + port % 10_000,
                new AvailabilityZone("zone-" + port % zones),
                release,
                nowMs,
                0,
                false);
        Membership membership =
                new Membership(settings, KEYS, self, RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong()));
        SimulatedNode node = new SimulatedNode(membership, zones == 0 ? 0 : port % zones);
        membership.setSeeds(runningNodes().limit(3).map(SimulatedNode::endpoint).toList());
        nodes.add(node);
        byEndpoint.put(node.endpoint(), node);
        scheduleAt(nowMs + random.nextLong(TICK_MS), () -> tick(node));
        return node;
    }

    private void tick(SimulatedNode node) {
        if (!node.running()) {
            return;
        }
        if (node.pausedUntilMs > nowMs) {
            scheduleAt(node.pausedUntilMs, () -> tick(node));
            return;
        }
        process(node, node.membership().tick(nowMs));
        scheduleAt(nowMs + TICK_MS, () -> tick(node));
    }

    private void process(SimulatedNode node, MembershipOutput output) {
        output.memberChanges().forEach(change -> memberChanges.add(new ObservedChange(node, change)));
        output.factUpdates().forEach(update -> receivedFacts.add(new ReceivedFact(node, update, nowMs)));
        output.datagrams().forEach(d -> transmit(node, d));
    }

    private void transmit(SimulatedNode from, Datagram datagram) {
        from.sentBytes += datagram.content().size();
        from.sentDatagrams++;
        SimulatedNode to = byEndpoint.get(datagram.destination());
        if (to == null || blockedPaths.test(from, to) || random.nextDouble() < lossRate) {
            return;
        }
        scheduleArrival(from, to, datagram.content());
        if (random.nextDouble() < duplicationRate) {
            scheduleArrival(from, to, datagram.content());
        }
    }

    private void scheduleArrival(SimulatedNode from, SimulatedNode to, ByteString content) {
        scheduleAt(nowMs + delayMs + (jitterMs > 0 ? random.nextLong(jitterMs) : 0), () -> receive(from, to, content));
    }

    private void receive(SimulatedNode from, SimulatedNode to, ByteString content) {
        if (!to.running()) {
            return;
        }
        if (to.pausedUntilMs > nowMs) {
            scheduleAt(to.pausedUntilMs, () -> receive(from, to, content));
            return;
        }
        to.receivedBytes += content.size();
        to.receivedDatagrams++;
        process(to, to.membership().handle(content.toByteArray(), from.endpoint(), nowMs));
    }

    private void scheduleAt(long dueMs, Runnable action) {
        events.add(new ScheduledEvent(dueMs, ++eventsScheduled, action));
    }

    private record ScheduledEvent(long dueMs, long sequence, Runnable action) {}
}
