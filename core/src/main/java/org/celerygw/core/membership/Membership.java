package org.celerygw.core.membership;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.fleet.FactRecord;
import org.celerygw.core.gen.fleet.FactRecordKind;
import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.gen.fleet.Packet;
import org.celerygw.core.gen.fleet.PacketKind;
import org.celerygw.core.gen.fleet.RecordState;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.HostId;
import org.jspecify.annotations.Nullable;

/**
 * The membership of one daemon in its fleet, after SWIM (Das, Gupta, Motivala 2002) with incarnation numbers,
 * indirect probes and piggybacked news. Sends and waits for nothing itself; not thread-safe.
 *
 * <pre>{@code
 * Membership membership = new Membership(MembershipSettings.defaults("litoral"), keys, self, random);
 * membership.seed(hostList, nowMs);
 * Output output = membership.tick(nowMs);              // every 50 to 100 ms
 * Output other = membership.handle(bytes, from, nowMs); // for each datagram
 * }</pre>
 */
public final class Membership {
    private static final int PROTOCOL = 1;
    private static final int PUSH_FANOUT = 4;
    private static final int PUSH_ROUNDS = 2;
    private static final long PUSH_INTERVAL_MS = 100;
    private static final int LEAVE_FANOUT = 8;
    private static final int SEED_FANOUT = 3;
    private static final long JOIN_RETRY_MS = 500;
    private static final long BEHIND_SYNC_MS = 1000;
    /** A longer gap between ticks means that this daemon itself was paused. */
    private static final long PAUSE_MS = 2000;
    /** A first datagram of an unknown sender may be this old, by both clocks. */
    private static final long STALE_MS = 300_000;

    private static final long LOAD_LIFE_MS = 300_000;
    /** Room for a packet's own fields besides the sender's record and the buckets. */
    private static final int HEADER_BYTES = 90;

    private final MembershipSettings settings;
    private final UniformRandomProvider random;
    private final Seal seal;
    private final int fleet;
    private final BroadcastQueue queue = new BroadcastQueue();
    private final FactTable facts = new FactTable();
    private final MemberTable table;
    private final Prober prober;
    private final Pacer pacer;
    private final Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);
    private List<Endpoint> seeds = List.of();
    private Member self;
    private int incarnation = 1;
    private boolean gone;
    private long sequence;
    private long configVersion;
    private int configPushes = PUSH_ROUNDS;
    private long lastTickMs = -1;
    private long lastHeardMs;
    private long nextSyncMs;
    private long nextReviveMs;
    private long nextPushMs;

    /**
     * Makes the membership of a daemon that knows nobody yet.
     *
     * @param settings the pace
     * @param keys the keys that sign and are accepted
     * @param self this daemon; its host id must be new at each start
     * @param random the source of random choices
     */
    public Membership(MembershipSettings settings, MembershipKeys keys, Member self, UniformRandomProvider random) {
        this.settings = settings;
        this.random = random;
        this.self = self;
        this.seal = new Seal(keys);
        this.fleet = Hashing.murmur3_32_fixed()
                .hashString(settings.fleet(), StandardCharsets.UTF_8)
                .asInt();
        this.table = new MemberTable(settings, queue);
        this.prober = new Prober(settings, table, random, self.zone(), new PacketWire());
        this.pacer = new Pacer();
    }

    /**
     * Takes a datagram.
     *
     * @param datagram its content
     * @param from the address it came from
     * @param nowMs the time
     * @return what to send and what changed; nothing when the datagram was dropped
     */
    public Output handle(byte[] datagram, Endpoint from, long nowMs) {
        Step step = new Step(nowMs);
        if (gone) {
            return step.output();
        }
        try {
            Packet packet = open(datagram, nowMs);
            accept(packet, from, step);
        } catch (Seal.Dropped e) {
            dropped.merge(e.reason(), 1L, Long::sum);
        } catch (GatewayException e) {
            dropped.merge(DropReason.MALFORMED, 1L, Long::sum);
        }
        return step.output();
    }

    /**
     * Does what is due.
     *
     * @param nowMs the time; every 50 to 100 ms
     * @return what to send and what changed
     */
    public Output tick(long nowMs) {
        Step step = new Step(nowMs);
        if (gone) {
            return step.output();
        }
        noticePause(nowMs);
        prober.tick(isolated(nowMs), step);
        table.expire(step);
        facts.forgetLoadsBefore(nowMs - LOAD_LIFE_MS);
        revive(step);
        syncWhenDue(step);
        push(step);
        return step.output();
    }

    /**
     * Takes the platform's list of hosts, which may lag. Listed addresses that are not present are tried; nobody is
     * removed for not being listed.
     *
     * @param list the UDP endpoints of the listed daemons
     */
    public void seed(Collection<Endpoint> list) {
        seeds = list.stream().filter(e -> !e.equals(self.gossip())).distinct().toList();
    }

    /**
     * Changes the keys.
     *
     * @param keys the keys from now on
     */
    public void rotate(MembershipKeys keys) {
        seal.use(keys);
    }

    /** Tells the others that this daemon is stopping but still answers. */
    public void markStopping() {
        self = self.asLeaving();
        refute(incarnation);
    }

    /**
     * Leaves the fleet; nothing is sent or taken afterwards.
     *
     * @param nowMs the time
     * @return the farewell to send
     */
    public Output leave(long nowMs) {
        Step step = new Step(nowMs);
        MemberRecord farewell = Records.brief(self.host(), incarnation, RecordState.LEFT);
        table.pick(LEAVE_FANOUT, random, e -> true)
                .forEach(e ->
                        send(e.member.gossip(), packet(PacketKind.NEWS, step).addMembers(farewell), step));
        gone = true;
        return step.output();
    }

    /**
     * Announces an accepted version of the configuration to the fleet.
     *
     * @param version the version; a lower one than is known has no effect
     */
    public void announceConfig(long version) {
        if (version > configVersion) {
            configVersion = version;
            configPushes = 0;
        }
    }

    /**
     * States which configuration is in force here.
     *
     * @param version its version
     */
    public void configInForce(long version) {
        self = self.withConfigVersion(version);
        announceConfig(version);
    }

    /**
     * Spreads that a backend server is leaving.
     *
     * @param id the incarnation of the backend server
     * @param version orders marks of one backend server; a mark is only undone by a higher version
     */
    public void markLeaving(BackendServerId id, long version) {
        publish(mark(FactRecordKind.BACKEND_LEAVING, id, version));
    }

    /**
     * Spreads that a backend server stays after all.
     *
     * @param id the incarnation of the backend server
     * @param version higher than that of the mark which it undoes
     */
    public void markStaying(BackendServerId id, long version) {
        publish(mark(FactRecordKind.BACKEND_STAYING, id, version));
    }

    /**
     * Spreads an engine's load, as far as room in other datagrams allows.
     *
     * @param id the engine
     * @param load its load
     */
    public void reportLoad(BackendServerId id, LoadSummary load) {
        publish(FactRecord.newBuilder()
                .setKind(FactRecordKind.BACKEND_LOAD)
                .setSubject(id.value())
                .setVersion(load.observedAtMs())
                .setQueued(load.queued())
                .setRunning(load.running())
                .setCachePermille(load.cachePermille())
                .build());
    }

    /**
     * Returns this daemon.
     *
     * @return its own member record
     */
    public Member self() {
        return self;
    }

    /**
     * Returns the members that are alive or suspect, this one included.
     *
     * @return the members in the order of their host ids
     */
    public List<Member> members() {
        return Stream.concat(Stream.of(self), table.present().map(e -> e.member))
                .sorted(Comparator.comparing(Member::host))
                .toList();
    }

    /**
     * Returns what is held of a member.
     *
     * @param host the member
     * @return its state, or nothing when it is unknown or forgotten
     */
    public Optional<MemberState> state(HostId host) {
        if (host.equals(self.host())) {
            return Optional.of(gone ? MemberState.LEFT : MemberState.ALIVE);
        }
        return Optional.ofNullable(table.get(host)).map(e -> e.state);
    }

    /**
     * Returns the highest version of the configuration that anybody announced.
     *
     * @return the version, 0 for none
     */
    public long configVersion() {
        return configVersion;
    }

    /**
     * Returns whether a backend server is leaving.
     *
     * @param id the backend server
     * @return true when it is marked and not unmarked by a higher version
     */
    public boolean isLeaving(BackendServerId id) {
        return facts.leaving(id);
    }

    /**
     * Returns the backend servers that are leaving.
     *
     * @return their ids
     */
    public Set<BackendServerId> leaving() {
        return facts.leaving();
    }

    /**
     * Returns an engine's newest known load.
     *
     * @param id the engine
     * @return its load, or nothing when none was heard lately
     */
    public Optional<LoadSummary> load(BackendServerId id) {
        return facts.load(id);
    }

    /**
     * Returns how many datagrams were dropped.
     *
     * @return the count by reason; reasons that never occurred are absent
     */
    public Map<DropReason, Long> dropped() {
        return Map.copyOf(dropped);
    }

    private Packet open(byte[] datagram, long nowMs) throws Seal.Dropped {
        if (datagram.length > settings.maxDatagramBytes()) {
            throw new Seal.Dropped(DropReason.OVERSIZED);
        }
        Packet packet = seal.open(datagram);
        if (packet.getFleet() != fleet) {
            throw new Seal.Dropped(DropReason.FOREIGN);
        }
        HostId sender = new HostId(packet.getSender().getHost());
        if (sender.equals(self.host())) {
            throw new Seal.Dropped(DropReason.OWN);
        }
        Entry entry = table.get(sender);
        if (entry == null && Math.abs(nowMs - packet.getSentMs()) > STALE_MS) {
            throw new Seal.Dropped(DropReason.STALE);
        }
        if (entry != null && !entry.window.accept(packet.getSequence())) {
            throw new Seal.Dropped(DropReason.REPLAYED);
        }
        return packet;
    }

    private void accept(Packet packet, Endpoint from, Step step) {
        lastHeardMs = step.nowMs;
        MemberRecord sender = packet.getSender();
        HostId host = new HostId(sender.getHost());
        boolean first = table.alone();
        boolean known = table.get(host) != null;
        table.merge(sender, MemberTable.Source.DIRECT, step);
        Entry entry = table.get(host);
        if (!known && entry != null) {
            entry.window.accept(packet.getSequence());
        }
        if (first) {
            nextSyncMs = step.nowMs;
        }
        hearConfig(packet.getConfigVersion(), step);
        boolean learned = mergeNews(packet, entry, step);
        Endpoint back = entry == null ? from : entry.member.gossip();
        answer(packet, back, host, learned, step);
    }

    private boolean mergeNews(Packet packet, @Nullable Entry sender, Step step) {
        MemberTable.Source source =
                packet.getKind() == PacketKind.SYNC ? MemberTable.Source.SYNC : MemberTable.Source.GOSSIP;
        // One that hears nobody suspects everybody; its suspicions do not count while it is held dead itself.
        boolean trusted = sender != null && sender.present();
        boolean learned = false;
        for (MemberRecord record : packet.getMembersList()) {
            learned |= mergeMember(record, source, trusted, step);
        }
        for (FactRecord fact : packet.getFactsList()) {
            learned |= mergeFact(fact, step);
        }
        return learned;
    }

    private boolean mergeMember(MemberRecord record, MemberTable.Source source, boolean trusted, Step step) {
        if (record.getHost().equals(self.host().value())) {
            if (record.getState() == RecordState.SUSPECT && record.getIncarnation() >= incarnation) {
                refute(record.getIncarnation());
            }
            return false;
        }
        if (record.getState() == RecordState.SUSPECT && !trusted) {
            return false;
        }
        return table.merge(record, source, step);
    }

    private boolean mergeFact(FactRecord fact, Step step) {
        if (!facts.merge(fact)) {
            return false;
        }
        queue.add(fact);
        step.heard(new News(newsKind(fact), fact.getSubject(), fact.getVersion()));
        return true;
    }

    private void answer(Packet packet, Endpoint back, HostId sender, boolean learned, Step step) {
        switch (packet.getKind()) {
            case PING -> ack(back, packet.getProbe(), sender, step);
            case ACK -> prober.answered(packet.getProbe(), answering(packet, sender), step);
            case PING_REQ ->
                prober.relay(
                        back,
                        packet.getProbe(),
                        new Endpoint(packet.getTargetAddress(), packet.getTargetPort()),
                        packet.getTarget(),
                        step);
            case SYNC_REQ -> sync(back, packet.getBucketsList(), step);
            case SYNC -> {
                if (learned) {
                    askSync(step);
                }
            }
            default -> {
                // NEWS needs no answer, and a later release may send more kinds.
            }
        }
    }

    private static HostId answering(Packet ack, HostId sender) {
        return ack.getTarget().isEmpty() ? sender : new HostId(ack.getTarget());
    }

    private void ack(Endpoint to, long number, HostId asker, Step step) {
        Packet.Builder packet = packet(PacketKind.ACK, step).setProbe(number);
        tellOfSuspicion(packet, asker);
        send(to, withNews(packet), step);
    }

    private void tellOfSuspicion(Packet.Builder packet, HostId host) {
        Entry entry = table.get(host);
        if (entry != null && (entry.state == MemberState.SUSPECT || entry.state == MemberState.DEAD)) {
            packet.addMembers(entry.record());
        }
    }

    private void refute(int suspected) {
        incarnation = suspected + 1;
        queue.add(selfRecord(), true);
    }

    private void hearConfig(long version, Step step) {
        if (version > configVersion) {
            announceConfig(version);
            step.heard(new News(News.Kind.CONFIGURATION, "", version));
        }
    }

    private void publish(FactRecord fact) {
        if (facts.merge(fact)) {
            queue.add(fact);
        }
    }

    private void noticePause(long nowMs) {
        long gapMs = nowMs - lastTickMs;
        if (lastTickMs >= 0 && gapMs > PAUSE_MS) {
            prober.reset();
            table.extendSuspicions(gapMs);
            lastHeardMs = nowMs;
        }
        lastTickMs = nowMs;
    }

    private boolean isolated(long nowMs) {
        return nowMs - lastHeardMs > settings.probeTimeoutMs();
    }

    private void revive(Step step) {
        if (step.nowMs < nextReviveMs) {
            return;
        }
        boolean alone = table.alone();
        nextReviveMs = step.nowMs + (alone ? JOIN_RETRY_MS : settings.reviveIntervalMs());
        List<Entry> lost = table.lost();
        List<Endpoint> unknown =
                new ArrayList<>(seeds.stream().filter(s -> !table.presentAt(s)).toList());
        if (!lost.isEmpty() && (unknown.isEmpty() || random.nextBoolean())) {
            Entry entry = lost.get(random.nextInt(lost.size()));
            prober.greet(entry.member.gossip(), entry.host().value(), step);
            return;
        }
        for (int i = alone ? SEED_FANOUT : 1; i > 0 && !unknown.isEmpty(); i--) {
            prober.greet(unknown.remove(random.nextInt(unknown.size())), "", step);
        }
    }

    private void syncWhenDue(Step step) {
        if (step.nowMs >= nextSyncMs) {
            askSync(step);
        }
    }

    private void askSync(Step step) {
        nextSyncMs = step.nowMs + settings.syncIntervalMs();
        table.pick(1, random, e -> true)
                .forEach(e -> send(
                        e.member.gossip(),
                        packet(PacketKind.SYNC_REQ, step).addAllBuckets(Digest.of(presentItems(), facts)),
                        step));
    }

    private void sync(Endpoint to, List<Integer> theirs, Step step) {
        List<Digest.Item> items = presentItems();
        List<Integer> ours = Digest.of(items, facts);
        if (ours.equals(theirs)) {
            queue.agreed();
            return;
        }
        Packet.Builder packet = packet(PacketKind.SYNC, step);
        int room = room(settings.maxDatagramBytes());
        int first = random.nextInt(Digest.BUCKETS);
        if (Digest.difference(packet, items, facts, ours, theirs, first, room)) {
            nextSyncMs = Math.min(nextSyncMs, step.nowMs + BEHIND_SYNC_MS);
            send(to, packet, step);
        }
    }

    private void push(Step step) {
        if (step.nowMs < nextPushMs || (configPushes >= PUSH_ROUNDS && !queue.hasPushes())) {
            return;
        }
        nextPushMs = step.nowMs + PUSH_INTERVAL_MS;
        int count = pacer.take(PUSH_FANOUT, step.nowMs);
        List<Entry> targets = table.pick(count, random, e -> true);
        if (targets.isEmpty()) {
            return;
        }
        configPushes++;
        Packet.Builder news = queue.push(Packet.newBuilder(), room(settings.datagramBytes()));
        targets.forEach(t -> {
            Packet.Builder packet = packet(PacketKind.NEWS, step)
                    .addAllMembers(news.getMembersList())
                    .addAllFacts(news.getFactsList());
            send(t.member.gossip(), packet, step);
        });
    }

    private Packet.Builder packet(PacketKind kind, Step step) {
        return Packet.newBuilder()
                .setProtocol(PROTOCOL)
                .setFleet(fleet)
                .setSequence(++sequence)
                .setSentMs(step.nowMs)
                .setKind(kind)
                .setSender(selfRecord())
                .setConfigVersion(configVersion);
    }

    private Packet.Builder withNews(Packet.Builder packet) {
        int room = settings.datagramBytes() - packet.build().getSerializedSize() - Seal.OVERHEAD_BYTES;
        queue.fill(packet, room, maxSends());
        return packet;
    }

    private int maxSends() {
        int members = table.all().size() + 2;
        return 2 * (32 - Integer.numberOfLeadingZeros(members));
    }

    private int room(int datagramBytes) {
        return datagramBytes - HEADER_BYTES - selfRecord().getSerializedSize() - Seal.OVERHEAD_BYTES;
    }

    private void send(Endpoint to, Packet.Builder packet, Step step) {
        ByteString content = seal.close(packet.build());
        step.send(new Datagram(to, content));
    }

    private MemberRecord selfRecord() {
        return Records.alive(self, incarnation);
    }

    private List<Digest.Item> presentItems() {
        return Stream.concat(
                        Stream.of(Digest.Item.of(selfRecord())), table.present().map(Entry::item))
                .toList();
    }

    private static FactRecord mark(FactRecordKind kind, BackendServerId id, long version) {
        Check.that(version > 0, "version must be positive");
        return FactRecord.newBuilder()
                .setKind(kind)
                .setSubject(id.value())
                .setVersion(version)
                .build();
    }

    private static News.Kind newsKind(FactRecord fact) {
        return switch (fact.getKind()) {
            case BACKEND_LEAVING -> News.Kind.BACKEND_LEAVING;
            case BACKEND_STAYING -> News.Kind.BACKEND_STAYING;
            default -> News.Kind.BACKEND_LOAD;
        };
    }

    /** Builds the packets that the prober asks for. */
    private final class PacketWire implements Prober.Wire {
        @Override
        public void ping(Endpoint to, String host, long number, boolean withNews, Step step) {
            Packet.Builder packet =
                    packet(PacketKind.PING, step).setProbe(number).setTarget(host);
            if (!host.isEmpty()) {
                tellOfSuspicion(packet, new HostId(host));
            }
            send(to, withNews ? withNews(packet) : packet, step);
        }

        @Override
        public void pingReq(Endpoint to, Member target, long number, Step step) {
            send(
                    to,
                    packet(PacketKind.PING_REQ, step)
                            .setProbe(number)
                            .setTarget(target.host().value())
                            .setTargetAddress(target.address())
                            .setTargetPort(target.gossipPort()),
                    step);
        }

        @Override
        public void relayAck(Endpoint to, long number, HostId answering, Step step) {
            send(to, packet(PacketKind.ACK, step).setProbe(number).setTarget(answering.value()), step);
        }
    }
}
