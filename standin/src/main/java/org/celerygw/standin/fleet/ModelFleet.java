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
 * Daemons' memberships over a model network in model time. Everything follows from the seed.
 *
 * <pre>{@code
 * ModelFleet fleet = new ModelFleet(1, 3);
 * fleet.startMany(50);
 * fleet.runForMs(10_000);
 * fleet.kill(fleet.nodes().get(3));
 * }</pre>
 */
public final class ModelFleet {
    /** How often a node ticks. */
    public static final long TICK_MS = 50;

    private static final int FIRST_PORT = 9000;
    private static final MembershipKeys KEYS =
            MembershipKeys.single(ByteString.copyFromUtf8("a shared key for model fleets"));

    private final UniformRandomProvider random;
    private final int zones;
    private final MembershipSettings settings = MembershipSettings.defaults("model");
    private final List<ModelNode> nodes = new ArrayList<>();
    private final Map<Endpoint, ModelNode> byEndpoint = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final List<Observed> changes = new ArrayList<>();
    private final List<Heard> news = new ArrayList<>();
    private long nowMs = 1_000_000;
    private long orders;
    private double loss;
    private double duplication;
    private long delayMs = 1;
    private long jitterMs = 1;
    private BiPredicate<ModelNode, ModelNode> cut = (a, b) -> false;

    /**
     * Makes a fleet without daemons.
     *
     * @param seed decides every random choice
     * @param zones among how many availability zones the daemons are spread
     */
    public ModelFleet(long seed, int zones) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.zones = zones;
    }

    /**
     * Loses datagrams at random.
     *
     * @param share from 0 to 1
     * @return this
     */
    public ModelFleet loss(double share) {
        loss = share;
        return this;
    }

    /**
     * Delivers datagrams twice at random.
     *
     * @param share from 0 to 1
     * @return this
     */
    public ModelFleet duplication(double share) {
        duplication = share;
        return this;
    }

    /**
     * Delays datagrams, by which they also overtake each other.
     *
     * @param leastMs the shortest delay
     * @param spreadMs up to so much more
     * @return this
     */
    public ModelFleet delay(long leastMs, long spreadMs) {
        delayMs = leastMs;
        jitterMs = spreadMs;
        return this;
    }

    /**
     * Cuts paths, each way by itself.
     *
     * @param path true for a sender and a receiver between whom all is lost
     * @return this
     */
    public ModelFleet cut(BiPredicate<ModelNode, ModelNode> path) {
        cut = path;
        return this;
    }

    /**
     * Starts daemons at new addresses; each is given some earlier ones as its host list.
     *
     * @param count how many
     * @return the new daemons
     */
    public List<ModelNode> startMany(int count) {
        List<ModelNode> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            started.add(start(FIRST_PORT + nodes.size(), "v1"));
        }
        return started;
    }

    /**
     * Starts a daemon again after it was killed or left: the same address, another incarnation.
     *
     * @param old the daemon that stopped
     * @return the new one
     */
    public ModelNode restart(ModelNode old) {
        old.stop();
        return start(old.endpoint().port(), "v2");
    }

    /**
     * Ends a daemon without a word.
     *
     * @param node the daemon
     */
    public void kill(ModelNode node) {
        node.stop();
    }

    /**
     * Lets a daemon leave with a farewell.
     *
     * @param node the daemon
     */
    public void leave(ModelNode node) {
        deliver(node, node.membership().leave(nowMs));
        node.stop();
    }

    /**
     * Stops a daemon's thread for a while; what arrives meanwhile waits in its socket.
     *
     * @param node the daemon
     * @param forMs how long
     */
    public void freeze(ModelNode node, long forMs) {
        node.frozenUntilMs = nowMs + forMs;
    }

    /**
     * Gives every daemon the addresses of all that run, as the platform's list does once it has caught up.
     */
    public void refreshHostList() {
        List<Endpoint> list = running().map(ModelNode::endpoint).toList();
        running().forEach(n -> n.membership().setSeeds(list));
    }

    /**
     * Does something later in model time.
     *
     * @param delayMs after how long
     * @param action what to do
     */
    public void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    /**
     * Runs the model.
     *
     * @param forMs for how long in model time
     */
    public void runForMs(long forMs) {
        long endMs = nowMs + forMs;
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.remove();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = endMs;
    }

    /**
     * Runs the model until something holds.
     *
     * @param condition what is waited for
     * @param mostMs the longest to wait
     * @return how long it took, or -1 when it never held
     */
    public long runUntil(BooleanSupplier condition, long mostMs) {
        long startMs = nowMs;
        while (nowMs < startMs + mostMs) {
            if (condition.getAsBoolean()) {
                return nowMs - startMs;
            }
            runForMs(TICK_MS);
        }
        return condition.getAsBoolean() ? nowMs - startMs : -1;
    }

    /**
     * Returns the time in the model.
     *
     * @return milliseconds
     */
    public long nowMs() {
        return nowMs;
    }

    /**
     * Returns the daemons that run, frozen ones included.
     *
     * @return the daemons
     */
    public Stream<ModelNode> running() {
        return nodes.stream().filter(ModelNode::running);
    }

    /**
     * Returns every daemon that was ever started.
     *
     * @return the daemons in the order of their start
     */
    public List<ModelNode> nodes() {
        return nodes;
    }

    /**
     * Returns whether every running daemon lists just the running ones.
     *
     * @return true when all agree with the truth
     */
    public boolean converged() {
        List<HostId> truth = running().map(ModelNode::host).sorted().toList();
        return running().allMatch(n -> n.membership().members().stream()
                .map(Member::host)
                .toList()
                .equals(truth));
    }

    /**
     * Returns the changes that daemons reported.
     *
     * @return in order
     */
    public List<Observed> changes() {
        return changes;
    }

    /**
     * Returns the facts that daemons reported.
     *
     * @return in order
     */
    public List<Heard> news() {
        return news;
    }

    /**
     * A change in the list of members as one daemon saw it.
     *
     * @param by the daemon
     * @param change what it saw
     */
    public record Observed(ModelNode by, MemberChange change) {}

    /**
     * A fact as one daemon heard it.
     *
     * @param by the daemon
     * @param news the fact
     * @param atMs when
     */
    public record Heard(ModelNode by, FactUpdate news, long atMs) {}

    private ModelNode start(int port, String release) {
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
        ModelNode node = new ModelNode(membership, zones == 0 ? 0 : port % zones);
        membership.setSeeds(running().limit(3).map(ModelNode::endpoint).toList());
        nodes.add(node);
        byEndpoint.put(node.endpoint(), node);
        at(nowMs + random.nextLong(TICK_MS), () -> tick(node));
        return node;
    }

    private void tick(ModelNode node) {
        if (!node.running()) {
            return;
        }
        if (node.frozenUntilMs > nowMs) {
            at(node.frozenUntilMs, () -> tick(node));
            return;
        }
        deliver(node, node.membership().tick(nowMs));
        at(nowMs + TICK_MS, () -> tick(node));
    }

    private void deliver(ModelNode from, MembershipOutput output) {
        output.memberChanges().forEach(c -> changes.add(new Observed(from, c)));
        output.factUpdates().forEach(n -> news.add(new Heard(from, n, nowMs)));
        output.datagrams().forEach(d -> transmit(from, d));
    }

    private void transmit(ModelNode from, Datagram datagram) {
        from.sentBytes += datagram.content().size();
        from.sentDatagrams++;
        ModelNode to = byEndpoint.get(datagram.destination());
        if (to == null || cut.test(from, to) || random.nextDouble() < loss) {
            return;
        }
        arrive(from, to, datagram.content());
        if (random.nextDouble() < duplication) {
            arrive(from, to, datagram.content());
        }
    }

    private void arrive(ModelNode from, ModelNode to, ByteString content) {
        at(nowMs + delayMs + (jitterMs > 0 ? random.nextLong(jitterMs) : 0), () -> receive(from, to, content));
    }

    private void receive(ModelNode from, ModelNode to, ByteString content) {
        if (!to.running()) {
            return;
        }
        if (to.frozenUntilMs > nowMs) {
            at(to.frozenUntilMs, () -> receive(from, to, content));
            return;
        }
        to.receivedBytes += content.size();
        to.receivedDatagrams++;
        deliver(to, to.membership().handle(content.toByteArray(), from.endpoint(), nowMs));
    }

    private void at(long atMs, Runnable action) {
        events.add(new Event(atMs, ++orders, action));
    }

    private record Event(long atMs, long order, Runnable action) {}
}
