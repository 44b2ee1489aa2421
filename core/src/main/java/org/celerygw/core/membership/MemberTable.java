package org.celerygw.core.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.id.HostId;
import org.jspecify.annotations.Nullable;

/**
 * The other members and the rules for merging records about them. Only suspicions are disseminated: each daemon
 * declares a suspect dead on its own when the suspicion is not refuted in time, so a wrong conclusion does not spread.
 */
final class MemberTable {
    /** An isolated daemon waits this many times longer before it declares others dead, as the fault may be its own. */
    private static final int ISOLATED_SUSPICION_MULTIPLIER = 4;

    private final MembershipSettings settings;
    private final BroadcastQueue broadcastQueue;
    private final Map<HostId, MemberEntry> entries = new HashMap<>();
    /** The member that last claimed each gossip endpoint. */
    private final Map<Endpoint, HostId> hostsByEndpoint = new HashMap<>();
    /** Cache for {@link #presentEntries()}; null after a member joined or became absent. */
    private MemberEntry @Nullable [] cachedPresent;

    MemberTable(MembershipSettings settings, BroadcastQueue broadcastQueue) {
        this.settings = settings;
        this.broadcastQueue = broadcastQueue;
    }

    @Nullable
    MemberEntry get(HostId host) {
        return entries.get(host);
    }

    Collection<MemberEntry> entries() {
        return entries.values();
    }

    Stream<MemberEntry> present() {
        return Arrays.stream(presentEntries());
    }

    boolean hasNoPresentMembers() {
        return presentEntries().length == 0;
    }

    boolean isPresentAt(Endpoint endpoint) {
        HostId host = hostsByEndpoint.get(endpoint);
        MemberEntry entry = host == null ? null : entries.get(host);
        return entry != null && entry.isPresent();
    }

    /** Returns the dead members whose gossip endpoint no other process has taken over. */
    List<MemberEntry> reconnectCandidates() {
        return entries.values().stream()
                .filter(e ->
                        e.state == MemberState.DEAD && e.host().equals(hostsByEndpoint.get(e.member.gossipEndpoint())))
                .toList();
    }

    /** Picks up to {@code count} random present members that match the filter. */
    List<MemberEntry> pickRandom(int count, UniformRandomProvider random, Predicate<MemberEntry> filter) {
        MemberEntry[] candidates = presentEntries().clone();
        List<MemberEntry> picked = new ArrayList<>();
        for (int i = 0; i < candidates.length && picked.size() < count; i++) {
            int index = i + random.nextInt(candidates.length - i);
            MemberEntry entry = candidates[index];
            candidates[index] = candidates[i];
            if (filter.test(entry)) {
                picked.add(entry);
            }
        }
        return picked;
    }

    /** Merges a record about another member and returns whether it was newer than the stored state. */
    boolean merge(MemberRecord record, Source source, Step step) {
        HostId host = new HostId(record.getHost());
        MemberEntry entry = entries.get(host);
        return switch (record.getState()) {
            case ALIVE -> entry == null ? addMember(record, source, step) : mergeAlive(entry, record, source, step);
            case SUSPECT -> entry != null && markSuspect(entry, record.getIncarnation(), step);
            case LEFT -> entry != null && markLeft(entry, step);
            default -> false;
        };
    }

    /** Marks a member suspect after a probe of it timed out. An isolated daemon does not disseminate the suspicion. */
    void probeFailed(MemberEntry entry, boolean isolated, Step step) {
        if (entry.state != MemberState.ALIVE) {
            return;
        }
        if (!isolated) {
            markSuspect(entry, entry.incarnation, step);
            return;
        }
        entry.state = MemberState.SUSPECT;
        entry.expiresAtMs = step.nowMs + ISOLATED_SUSPICION_MULTIPLIER * settings.suspicionMs();
        step.memberChanged(MemberChange.Kind.SUSPECTED, entry.member);
    }

    /** Declares suspects dead after their suspicion time-out, and removes absent members after the tombstone time. */
    void expire(Step step) {
        present()
                .filter(e -> e.state == MemberState.SUSPECT && e.expiresAtMs <= step.nowMs)
                .toList()
                .forEach(e -> markAbsent(e, MemberState.DEAD, MemberChange.Kind.DEAD, step));
        entries.values().removeIf(e -> !e.isPresent() && e.expiresAtMs <= step.nowMs && releaseEndpoint(e));
    }

    /** Extends all suspicions by the time for which this daemon itself was paused. */
    void extendSuspicions(long gapMs) {
        present().filter(e -> e.state == MemberState.SUSPECT).forEach(e -> e.expiresAtMs += gapMs);
    }

    /** Returns the present members. The array is cached because every step reads it. */
    private MemberEntry[] presentEntries() {
        MemberEntry[] present = cachedPresent;
        if (present == null) {
            present = entries.values().stream().filter(MemberEntry::isPresent).toArray(MemberEntry[]::new);
            cachedPresent = present;
        }
        return present;
    }

    private boolean addMember(MemberRecord record, Source source, Step step) {
        MemberEntry entry = new MemberEntry(MemberRecords.toMember(record), record.getIncarnation());
        if (!claimEndpoint(entry, source, step)) {
            return false;
        }
        entries.put(entry.host(), entry);
        cachedPresent = null;
        step.memberChanged(MemberChange.Kind.JOINED, entry.member);
        if (source != Source.SYNC) {
            broadcastQueue.add(entry.toRecord(), true);
        }
        return true;
    }

    private boolean mergeAlive(MemberEntry entry, MemberRecord record, Source source, Step step) {
        if (entry.state == MemberState.LEFT) {
            return false;
        }
        if (record.getIncarnation() <= entry.incarnation) {
            return mergeNotNewer(entry, record, source);
        }
        boolean wasDead = entry.state == MemberState.DEAD;
        boolean wasSuspect = entry.state == MemberState.SUSPECT;
        Member member = MemberRecords.toMember(record);
        if (wasDead && !claimEndpoint(new MemberEntry(member, record.getIncarnation()), source, step)) {
            return false;
        }
        entry.member = member;
        entry.incarnation = record.getIncarnation();
        entry.state = MemberState.ALIVE;
        cachedPresent = null;
        broadcastQueue.add(entry.toRecord(), source != Source.SYNC);
        step.memberChanged(
                wasDead ? MemberChange.Kind.JOINED : wasSuspect ? MemberChange.Kind.CLEARED : MemberChange.Kind.UPDATED,
                entry.member);
        return true;
    }

    /** Merges a record that is not newer: takes over only a higher configuration version. */
    private boolean mergeNotNewer(MemberEntry entry, MemberRecord record, Source source) {
        if (record.getConfigVersion() > entry.member.configVersion()) {
            entry.member = entry.member.withConfigVersion(record.getConfigVersion());
        }
        if (entry.state == MemberState.DEAD && source != Source.DIRECT) {
            // The sender considers the member alive. Disseminating the suspicion again lets the member refute it,
            // if it is running.
            broadcastQueue.addIfAbsent(entry.toRecord());
        }
        return false;
    }

    private boolean markSuspect(MemberEntry entry, int incarnation, Step step) {
        if (entry.state != MemberState.ALIVE || incarnation < entry.incarnation) {
            return false;
        }
        entry.incarnation = incarnation;
        entry.state = MemberState.SUSPECT;
        entry.expiresAtMs = step.nowMs + settings.suspicionMs();
        broadcastQueue.add(entry.toRecord(), true);
        step.memberChanged(MemberChange.Kind.SUSPECTED, entry.member);
        return true;
    }

    private boolean markLeft(MemberEntry entry, Step step) {
        if (entry.state == MemberState.LEFT) {
            return false;
        }
        boolean wasPresent = entry.isPresent();
        entry.state = MemberState.LEFT;
        cachedPresent = null;
        entry.expiresAtMs = step.nowMs + settings.tombstoneMs();
        broadcastQueue.add(entry.toRecord(), true);
        if (wasPresent) {
            step.memberChanged(MemberChange.Kind.LEFT, entry.member);
        }
        return true;
    }

    /**
     * Claims the gossip endpoint for a member, and returns whether it succeeded. Of two processes at one endpoint, the
     * one that was started later, or that sent this record itself, replaces the other.
     */
    private boolean claimEndpoint(MemberEntry entry, Source source, Step step) {
        Endpoint endpoint = entry.member.gossipEndpoint();
        HostId holderId = hostsByEndpoint.get(endpoint);
        MemberEntry holder = holderId == null || holderId.equals(entry.host()) ? null : entries.get(holderId);
        if (holder != null && holder.isPresent()) {
            boolean older = entry.member.startedMs() <= holder.member.startedMs();
            if (older && source != Source.DIRECT) {
                return false;
            }
            markAbsent(holder, MemberState.DEAD, MemberChange.Kind.REPLACED, step);
            broadcastQueue.add(holder.toRecord(), true);
        }
        hostsByEndpoint.put(endpoint, entry.host());
        return true;
    }

    private void markAbsent(MemberEntry entry, MemberState state, MemberChange.Kind kind, Step step) {
        entry.state = state;
        cachedPresent = null;
        entry.expiresAtMs = step.nowMs + settings.tombstoneMs();
        step.memberChanged(kind, entry.member);
    }

    private boolean releaseEndpoint(MemberEntry entry) {
        hostsByEndpoint.remove(entry.member.gossipEndpoint(), entry.host());
        return true;
    }

    /** How a record was received. */
    enum Source {
        /** Sent by the member itself, as the sender of a packet. */
        DIRECT,
        /** Piggybacked or pushed by another member. */
        GOSSIP,
        /** Sent by another member in response to a digest of the complete state. */
        SYNC
    }
}
