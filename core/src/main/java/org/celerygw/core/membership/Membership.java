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
 * The membership of one daemon in its fleet, after SWIM (Das, Gupta, Motivala 2002) with incarnation numbers, indirect
 * probes and piggybacked dissemination. Performs no I/O and has no timers: the caller sends the returned datagrams and
 * calls {@link #tick}. Not thread-safe.
 *
 * <pre>{@code
 * Membership membership = new Membership(MembershipSettings.defaults("litoral"), keys, self, random);
 * membership.setSeeds(endpoints);
 * MembershipOutput output = membership.tick(nowMs); // every 50 to 100 ms
 * MembershipOutput other = membership.handle(bytes, from, nowMs); // for each received datagram
 * }</pre>
 */
public final class Membership {
    private static final int PROTOCOL_VERSION = 1;
    /** Number of members that urgent records are pushed to in one round. */
    private static final int PUSH_FANOUT = 4;
    /** Number of rounds in which a new configuration version is pushed. */
    private static final int PUSH_ROUNDS = 2;

    private static final long PUSH_INTERVAL_MS = 100;
    /** Number of members that are notified when this daemon leaves. */
    private static final int LEAVE_FANOUT = 8;
    /** Number of seeds that are pinged at a time while no other member is present. */
    private static final int JOIN_FANOUT = 3;

    private static final long JOIN_INTERVAL_MS = 500;
    /** Maximum delay of the next comparison after one that found a difference. */
    private static final long DIVERGED_SYNC_DELAY_MS = 1000;
    /** A longer interval between two ticks means that this daemon itself was paused. */
    private static final long PAUSE_THRESHOLD_MS = 2000;
    /** Maximum difference between the send time in a datagram of an unknown sender and the local clock. */
    private static final long MAX_UNKNOWN_SENDER_SKEW_MS = 300_000;

    private static final long LOAD_RETENTION_MS = 300_000;
    /** Bytes reserved for the fields of a packet other than the sender's record and the bucket hashes. */
    private static final int HEADER_RESERVE_BYTES = 90;

    private final MembershipSettings settings;
    private final UniformRandomProvider random;
    private final PacketAuthenticator authenticator;
    private final int fleetHash;
    private final BroadcastQueue broadcastQueue = new BroadcastQueue();
    private final FactTable facts = new FactTable();
    private final MemberTable table;
    private final Prober prober;
    private final PushLimiter pushLimiter;
    private final Map<DropReason, Long> droppedDatagrams = new EnumMap<>(DropReason.class);
    private List<Endpoint> seeds = List.of();
    private Member self;
    private int incarnation = 1;
    private boolean hasLeft;
    private long lastSequence;
    private long configVersion;
    private int configPushRounds = PUSH_ROUNDS;
    private long lastTickMs = -1;
    private long lastReceivedMs;
    private long nextSyncMs;
    private long nextReconnectMs;
    private long nextPushMs;

    /**
     * Creates the membership of a daemon that knows no other member yet.
     *
     * @param settings the intervals and datagram sizes
     * @param keys the keys for signing and verifying datagrams
     * @param self the record of this daemon; its host id must be new at each start
     * @param random selects the members to probe, to push to and to compare with
     */
    public Membership(MembershipSettings settings, MembershipKeys keys, Member self, UniformRandomProvider random) {
        this.settings = settings;
        this.random = random;
        this.self = self;
        this.authenticator = new PacketAuthenticator(keys);
        this.fleetHash = Hashing.murmur3_32_fixed()
                .hashString(settings.fleet(), StandardCharsets.UTF_8)
                .asInt();
        this.table = new MemberTable(settings, broadcastQueue);
        this.prober = new Prober(settings, table, random, self.zone(), new PacketSender());
        this.pushLimiter = new PushLimiter();
    }

    /**
     * Processes a received datagram.
     *
     * @param datagram the content of the datagram
     * @param from the address that it was received from
     * @param nowMs the current time in ms since the epoch
     * @return the datagrams to send and the changes; empty when the datagram was dropped
     */
    public MembershipOutput handle(byte[] datagram, Endpoint from, long nowMs) {
        Step step = new Step(nowMs);
        if (hasLeft) {
            return step.toOutput();
        }
        try {
            Packet packet = verify(datagram, nowMs);
            process(packet, from, step);
        } catch (PacketAuthenticator.DropException e) {
            droppedDatagrams.merge(e.reason(), 1L, Long::sum);
        } catch (GatewayException e) {
            droppedDatagrams.merge(DropReason.MALFORMED, 1L, Long::sum);
        }
        return step.toOutput();
    }

    /**
     * Runs the probes, time-outs, comparisons and pushes that are due.
     *
     * @param nowMs the current time in ms since the epoch; to be called every 50 to 100 ms
     * @return the datagrams to send and the changes
     */
    public MembershipOutput tick(long nowMs) {
        Step step = new Step(nowMs);
        if (hasLeft) {
            return step.toOutput();
        }
        detectPause(nowMs);
        prober.tick(isIsolated(nowMs), step);
        table.expire(step);
        facts.removeLoadsBefore(nowMs - LOAD_RETENTION_MS);
        reconnectWhenDue(step);
        syncWhenDue(step);
        pushWhenDue(step);
        return step.toOutput();
    }

    /**
     * Replaces the seeds, which come from the platform's host list. The list may lag behind: seeds that are not present
     * members are pinged, but a member is not removed for being absent from it.
     *
     * @param endpoints the gossip endpoints of the listed daemons
     */
    public void setSeeds(Collection<Endpoint> endpoints) {
        seeds = endpoints.stream()
                .filter(e -> !e.equals(self.gossipEndpoint()))
                .distinct()
                .toList();
    }

    /**
     * Replaces the keys for signing and verifying datagrams.
     *
     * @param keys the new keys
     */
    public void rotateKeys(MembershipKeys keys) {
        authenticator.setKeys(keys);
    }

    /** Announces to the fleet that this daemon is stopping but still responds. */
    public void markStopping() {
        self = self.asLeaving();
        refute(incarnation);
    }

    /**
     * Leaves the fleet. Afterwards nothing is sent, and received datagrams are ignored.
     *
     * @param nowMs the current time in ms since the epoch
     * @return the datagrams that announce the departure
     */
    public MembershipOutput leave(long nowMs) {
        Step step = new Step(nowMs);
        MemberRecord leftRecord = MemberRecords.stateRecord(self.host(), incarnation, RecordState.LEFT);
        table.pickRandom(LEAVE_FANOUT, random, e -> true)
                .forEach(e -> send(
                        e.member.gossipEndpoint(),
                        newPacket(PacketKind.NEWS, step).addMembers(leftRecord),
                        step));
        hasLeft = true;
        return step.toOutput();
    }

    /**
     * Announces an accepted configuration version to the fleet.
     *
     * @param version the version; ignored unless it is higher than the highest version known
     */
    public void announceConfig(long version) {
        if (version > configVersion) {
            configVersion = version;
            configPushRounds = 0;
        }
    }

    /**
     * Sets the version of the configuration that is active in this daemon, and announces it.
     *
     * @param version the version
     */
    public void setActiveConfigVersion(long version) {
        self = self.withConfigVersion(version);
        announceConfig(version);
    }

    /**
     * Disseminates that a backend server is leaving.
     *
     * @param id the id of the backend server's incarnation
     * @param version orders the marks of one backend server; only a higher version withdraws a leaving mark
     */
    public void markServerLeaving(BackendServerId id, long version) {
        publish(serverFact(FactRecordKind.BACKEND_LEAVING, id, version));
    }

    /**
     * Disseminates that the leaving mark of a backend server is withdrawn.
     *
     * @param id the id of the backend server's incarnation
     * @param version higher than the version of the mark that it withdraws
     */
    public void markServerStaying(BackendServerId id, long version) {
        publish(serverFact(FactRecordKind.BACKEND_STAYING, id, version));
    }

    /**
     * Disseminates the load of an engine, as far as other datagrams have spare capacity.
     *
     * @param id the engine
     * @param load the load, with the time of its observation as its version
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
     * Returns the member record of this daemon.
     *
     * @return the record, including the leaving flag and the active configuration version
     */
    public Member self() {
        return self;
    }

    /**
     * Returns the members that are alive or suspect, including this daemon.
     *
     * @return the members ordered by host id
     */
    public List<Member> members() {
        return Stream.concat(Stream.of(self), table.present().map(e -> e.member))
                .sorted(Comparator.comparing(Member::host))
                .toList();
    }

    /**
     * Returns the state of a member, as this daemon sees it.
     *
     * @param host the host id of the member
     * @return its state, or empty when the member is unknown or was removed after the tombstone time
     */
    public Optional<MemberState> state(HostId host) {
        if (host.equals(self.host())) {
            return Optional.of(hasLeft ? MemberState.LEFT : MemberState.ALIVE);
        }
        return Optional.ofNullable(table.get(host)).map(e -> e.state);
    }

    /**
     * Returns the highest configuration version announced by any member.
     *
     * @return the version, or 0 if none was announced
     */
    public long configVersion() {
        return configVersion;
    }

    /**
     * Returns whether a backend server is leaving.
     *
     * @param id the backend server
     * @return true when its newest mark is a leaving mark
     */
    public boolean isServerLeaving(BackendServerId id) {
        return facts.isLeaving(id);
    }

    /**
     * Returns the backend servers that are leaving.
     *
     * @return the ids of the servers whose newest mark is a leaving mark
     */
    public Set<BackendServerId> leavingServers() {
        return facts.leavingServers();
    }

    /**
     * Returns the newest known load of an engine.
     *
     * @param id the engine
     * @return its load, or empty when none was observed in the last 5 minutes
     */
    public Optional<LoadSummary> load(BackendServerId id) {
        return facts.load(id);
    }

    /**
     * Returns the number of received datagrams that were dropped.
     *
     * @return the count by reason; reasons that never occurred are absent
     */
    public Map<DropReason, Long> droppedDatagrams() {
        return Map.copyOf(droppedDatagrams);
    }

    private Packet verify(byte[] datagram, long nowMs) throws PacketAuthenticator.DropException {
        if (datagram.length > settings.maxDatagramBytes()) {
            throw new PacketAuthenticator.DropException(DropReason.OVERSIZED);
        }
        Packet packet = authenticator.verify(datagram);
        if (packet.getFleet() != fleetHash) {
            throw new PacketAuthenticator.DropException(DropReason.FOREIGN);
        }
        HostId sender = new HostId(packet.getSender().getHost());
        if (sender.equals(self.host())) {
            throw new PacketAuthenticator.DropException(DropReason.OWN);
        }
        MemberEntry entry = table.get(sender);
        if (entry == null && Math.abs(nowMs - packet.getSentMs()) > MAX_UNKNOWN_SENDER_SKEW_MS) {
            throw new PacketAuthenticator.DropException(DropReason.STALE);
        }
        if (entry != null && !entry.replayWindow.accept(packet.getSequence())) {
            throw new PacketAuthenticator.DropException(DropReason.REPLAYED);
        }
        return packet;
    }

    private void process(Packet packet, Endpoint from, Step step) {
        lastReceivedMs = step.nowMs;
        MemberRecord sender = packet.getSender();
        HostId host = new HostId(sender.getHost());
        boolean wasAlone = table.hasNoPresentMembers();
        boolean wasKnown = table.get(host) != null;
        table.merge(sender, MemberTable.Source.DIRECT, step);
        MemberEntry entry = table.get(host);
        if (!wasKnown && entry != null) {
            entry.replayWindow.accept(packet.getSequence());
        }
        if (wasAlone) {
            nextSyncMs = step.nowMs;
        }
        mergeConfigVersion(packet.getConfigVersion(), step);
        boolean foundNewer = mergeRecords(packet, entry, step);
        Endpoint replyTo = entry == null ? from : entry.member.gossipEndpoint();
        respond(packet, replyTo, host, foundNewer, step);
    }

    private boolean mergeRecords(Packet packet, @Nullable MemberEntry sender, Step step) {
        MemberTable.Source source =
                packet.getKind() == PacketKind.SYNC ? MemberTable.Source.SYNC : MemberTable.Source.GOSSIP;
        // A daemon that receives nothing suspects all others. Suspicions from a sender that is itself considered
        // dead are therefore ignored.
        boolean trusted = sender != null && sender.isPresent();
        boolean foundNewer = false;
        for (MemberRecord record : packet.getMembersList()) {
            foundNewer |= mergeMember(record, source, trusted, step);
        }
        for (FactRecord fact : packet.getFactsList()) {
            foundNewer |= mergeFact(fact, step);
        }
        return foundNewer;
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
        broadcastQueue.add(fact);
        step.factUpdated(new FactUpdate(updateKind(fact), fact.getSubject(), fact.getVersion()));
        return true;
    }

    private void respond(Packet packet, Endpoint replyTo, HostId sender, boolean foundNewer, Step step) {
        switch (packet.getKind()) {
            case PING -> sendAck(replyTo, packet.getProbe(), sender, step);
            case ACK -> prober.ackReceived(packet.getProbe(), acknowledgingHost(packet, sender), step);
            case PING_REQ ->
                prober.relayProbe(
                        replyTo,
                        packet.getProbe(),
                        new Endpoint(packet.getTargetAddress(), packet.getTargetPort()),
                        packet.getTarget(),
                        step);
            case SYNC_REQ -> respondToSync(replyTo, packet.getBucketsList(), step);
            case SYNC -> {
                if (foundNewer) {
                    requestSync(step);
                }
            }
            default -> {
                // NEWS needs no response, and a newer release may send kinds that this one does not know.
            }
        }
    }

    private static HostId acknowledgingHost(Packet ack, HostId sender) {
        return ack.getTarget().isEmpty() ? sender : new HostId(ack.getTarget());
    }

    private void sendAck(Endpoint to, long probeNumber, HostId requester, Step step) {
        Packet.Builder packet = newPacket(PacketKind.ACK, step).setProbe(probeNumber);
        addSuspicion(packet, requester);
        send(to, piggyback(packet), step);
    }

    /** Adds the suspicion of a member to a packet that is sent to it, so that the member can refute it. */
    private void addSuspicion(Packet.Builder packet, HostId host) {
        MemberEntry entry = table.get(host);
        if (entry != null && (entry.state == MemberState.SUSPECT || entry.state == MemberState.DEAD)) {
            packet.addMembers(entry.toRecord());
        }
    }

    private void refute(int suspectedIncarnation) {
        incarnation = suspectedIncarnation + 1;
        broadcastQueue.add(selfRecord(), true);
    }

    private void mergeConfigVersion(long version, Step step) {
        if (version > configVersion) {
            announceConfig(version);
            step.factUpdated(new FactUpdate(FactUpdate.Kind.CONFIGURATION, "", version));
        }
    }

    private void publish(FactRecord fact) {
        if (facts.merge(fact)) {
            broadcastQueue.add(fact);
        }
    }

    private void detectPause(long nowMs) {
        long gapMs = nowMs - lastTickMs;
        if (lastTickMs >= 0 && gapMs > PAUSE_THRESHOLD_MS) {
            prober.reset();
            table.extendSuspicions(gapMs);
            lastReceivedMs = nowMs;
        }
        lastTickMs = nowMs;
    }

    /** Returns whether no datagram was received for longer than the probe time-out. */
    private boolean isIsolated(long nowMs) {
        return nowMs - lastReceivedMs > settings.probeTimeoutMs();
    }

    private void reconnectWhenDue(Step step) {
        if (step.nowMs < nextReconnectMs) {
            return;
        }
        boolean alone = table.hasNoPresentMembers();
        nextReconnectMs = step.nowMs + (alone ? JOIN_INTERVAL_MS : settings.reconnectIntervalMs());
        List<MemberEntry> deadMembers = table.reconnectCandidates();
        List<Endpoint> absentSeeds = new ArrayList<>(
                seeds.stream().filter(s -> !table.isPresentAt(s)).toList());
        if (!deadMembers.isEmpty() && (absentSeeds.isEmpty() || random.nextBoolean())) {
            MemberEntry entry = deadMembers.get(random.nextInt(deadMembers.size()));
            prober.pingUntracked(entry.member.gossipEndpoint(), entry.host().value(), step);
            return;
        }
        for (int i = alone ? JOIN_FANOUT : 1; i > 0 && !absentSeeds.isEmpty(); i--) {
            prober.pingUntracked(absentSeeds.remove(random.nextInt(absentSeeds.size())), "", step);
        }
    }

    private void syncWhenDue(Step step) {
        if (step.nowMs >= nextSyncMs) {
            requestSync(step);
        }
    }

    private void requestSync(Step step) {
        nextSyncMs = step.nowMs + settings.syncIntervalMs();
        table.pickRandom(1, random, e -> true)
                .forEach(e -> send(
                        e.member.gossipEndpoint(),
                        newPacket(PacketKind.SYNC_REQ, step).addAllBuckets(Digest.bucketHashes(digestItems(), facts)),
                        step));
    }

    private void respondToSync(Endpoint to, List<Integer> remoteHashes, Step step) {
        List<Digest.Item> items = digestItems();
        List<Integer> localHashes = Digest.bucketHashes(items, facts);
        if (localHashes.equals(remoteHashes)) {
            broadcastQueue.recordAgreement();
            return;
        }
        Packet.Builder packet = newPacket(PacketKind.SYNC, step);
        int capacityBytes = recordCapacityBytes(settings.maxDatagramBytes());
        int firstBucket = random.nextInt(Digest.BUCKETS);
        if (Digest.addDifferences(packet, items, facts, localHashes, remoteHashes, firstBucket, capacityBytes)) {
            nextSyncMs = Math.min(nextSyncMs, step.nowMs + DIVERGED_SYNC_DELAY_MS);
            send(to, packet, step);
        }
    }

    private void pushWhenDue(Step step) {
        if (step.nowMs < nextPushMs || (configPushRounds >= PUSH_ROUNDS && !broadcastQueue.hasPendingPushes())) {
            return;
        }
        nextPushMs = step.nowMs + PUSH_INTERVAL_MS;
        int count = pushLimiter.acquireUpTo(PUSH_FANOUT, step.nowMs);
        List<MemberEntry> targets = table.pickRandom(count, random, e -> true);
        if (targets.isEmpty()) {
            return;
        }
        configPushRounds++;
        Packet.Builder pushed =
                broadcastQueue.addPushed(Packet.newBuilder(), recordCapacityBytes(settings.typicalDatagramBytes()));
        targets.forEach(t -> {
            Packet.Builder packet = newPacket(PacketKind.NEWS, step)
                    .addAllMembers(pushed.getMembersList())
                    .addAllFacts(pushed.getFactsList());
            send(t.member.gossipEndpoint(), packet, step);
        });
    }

    private Packet.Builder newPacket(PacketKind kind, Step step) {
        return Packet.newBuilder()
                .setProtocol(PROTOCOL_VERSION)
                .setFleet(fleetHash)
                .setSequence(++lastSequence)
                .setSentMs(step.nowMs)
                .setKind(kind)
                .setSender(selfRecord())
                .setConfigVersion(configVersion);
    }

    private Packet.Builder piggyback(Packet.Builder packet) {
        int capacityBytes = settings.typicalDatagramBytes()
                - packet.build().getSerializedSize()
                - PacketAuthenticator.OVERHEAD_BYTES;
        broadcastQueue.addPiggybacked(packet, capacityBytes, maxSendsPerRecord());
        return packet;
    }

    private int maxSendsPerRecord() {
        int members = table.entries().size() + 2;
        return 2 * (32 - Integer.numberOfLeadingZeros(members));
    }

    private int recordCapacityBytes(int datagramBytes) {
        return datagramBytes
                - HEADER_RESERVE_BYTES
                - selfRecord().getSerializedSize()
                - PacketAuthenticator.OVERHEAD_BYTES;
    }

    private void send(Endpoint to, Packet.Builder packet, Step step) {
        ByteString content = authenticator.sign(packet.build());
        step.send(new Datagram(to, content));
    }

    private MemberRecord selfRecord() {
        return MemberRecords.aliveRecord(self, incarnation);
    }

    private List<Digest.Item> digestItems() {
        return Stream.concat(
                        Stream.of(Digest.Item.of(selfRecord())), table.present().map(MemberEntry::digestItem))
                .toList();
    }

    private static FactRecord serverFact(FactRecordKind kind, BackendServerId id, long version) {
        Check.that(version > 0, "version must be positive");
        return FactRecord.newBuilder()
                .setKind(kind)
                .setSubject(id.value())
                .setVersion(version)
                .build();
    }

    private static FactUpdate.Kind updateKind(FactRecord fact) {
        return switch (fact.getKind()) {
            case BACKEND_LEAVING -> FactUpdate.Kind.BACKEND_LEAVING;
            case BACKEND_STAYING -> FactUpdate.Kind.BACKEND_STAYING;
            default -> FactUpdate.Kind.BACKEND_LOAD;
        };
    }

    /** Builds and sends the packets of the prober. */
    private final class PacketSender implements Prober.ProbeSender {
        @Override
        public void sendPing(Endpoint to, String host, long probeNumber, boolean piggyback, Step step) {
            Packet.Builder packet =
                    newPacket(PacketKind.PING, step).setProbe(probeNumber).setTarget(host);
            if (!host.isEmpty()) {
                addSuspicion(packet, new HostId(host));
            }
            send(to, piggyback ? piggyback(packet) : packet, step);
        }

        @Override
        public void sendPingReq(Endpoint to, Member target, long probeNumber, Step step) {
            send(
                    to,
                    newPacket(PacketKind.PING_REQ, step)
                            .setProbe(probeNumber)
                            .setTarget(target.host().value())
                            .setTargetAddress(target.address())
                            .setTargetPort(target.gossipPort()),
                    step);
        }

        @Override
        public void sendRelayedAck(Endpoint to, long probeNumber, HostId acknowledgingHost, Step step) {
            send(to, newPacket(PacketKind.ACK, step).setProbe(probeNumber).setTarget(acknowledgingHost.value()), step);
        }
    }
}
