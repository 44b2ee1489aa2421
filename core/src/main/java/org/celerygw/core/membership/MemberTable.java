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
 * The other members and the rules by which records about them merge. Only suspicions travel; each daemon concludes
 * by itself that a suspect which did not refute is dead, so that a wrong conclusion does not spread.
 */
final class MemberTable {
    /** An isolated daemon waits longer before it holds others dead: the fault may well be its own. */
    private static final int ISOLATED_FACTOR = 4;

    private final MembershipSettings settings;
    private final BroadcastQueue queue;
    private final Map<HostId, Entry> entries = new HashMap<>();
    private final Map<Endpoint, HostId> holders = new HashMap<>();
    private Entry @Nullable [] present;

    MemberTable(MembershipSettings settings, BroadcastQueue queue) {
        this.settings = settings;
        this.queue = queue;
    }

    @Nullable
    Entry get(HostId host) {
        return entries.get(host);
    }

    Collection<Entry> all() {
        return entries.values();
    }

    Stream<Entry> present() {
        return Arrays.stream(presentArray());
    }

    boolean alone() {
        return presentArray().length == 0;
    }

    boolean presentAt(Endpoint endpoint) {
        HostId host = holders.get(endpoint);
        Entry entry = host == null ? null : entries.get(host);
        return entry != null && entry.present();
    }

    /** Dead members whose address nobody else took. */
    List<Entry> lost() {
        return entries.values().stream()
                .filter(e -> e.state == MemberState.DEAD && e.host().equals(holders.get(e.member.gossip())))
                .toList();
    }

    /** Picks up to {@code count} present members at random among those that fit. */
    List<Entry> pick(int count, UniformRandomProvider random, Predicate<Entry> fits) {
        Entry[] all = presentArray().clone();
        List<Entry> picked = new ArrayList<>();
        for (int i = 0; i < all.length && picked.size() < count; i++) {
            int at = i + random.nextInt(all.length - i);
            Entry entry = all[at];
            all[at] = all[i];
            if (fits.test(entry)) {
                picked.add(entry);
            }
        }
        return picked;
    }

    /** Merges a record about another member and returns whether anything was learned. */
    boolean merge(MemberRecord record, Source source, Step step) {
        HostId host = new HostId(record.getHost());
        Entry entry = entries.get(host);
        return switch (record.getState()) {
            case ALIVE -> entry == null ? admit(record, source, step) : alive(entry, record, source, step);
            case SUSPECT -> entry != null && suspect(entry, record.getIncarnation(), step);
            case LEFT -> entry != null && left(entry, step);
            default -> false;
        };
    }

    /** Holds a member suspect that gave no answer. */
    void noAnswer(Entry entry, boolean isolated, Step step) {
        if (entry.state != MemberState.ALIVE) {
            return;
        }
        if (!isolated) {
            suspect(entry, entry.incarnation, step);
            return;
        }
        entry.state = MemberState.SUSPECT;
        entry.deadlineMs = step.nowMs + ISOLATED_FACTOR * settings.suspicionMs();
        step.changed(Change.Kind.SUSPECTED, entry.member);
    }

    /** Ends suspicions and forgets dead members whose time is over. */
    void expire(Step step) {
        present()
                .filter(e -> e.state == MemberState.SUSPECT && e.deadlineMs <= step.nowMs)
                .toList()
                .forEach(e -> end(e, MemberState.DEAD, Change.Kind.DEAD, step));
        entries.values().removeIf(e -> !e.present() && e.deadlineMs <= step.nowMs && release(e));
    }

    /** Gives suspects the time that this daemon itself was paused. */
    void extendSuspicions(long gapMs) {
        present().filter(e -> e.state == MemberState.SUSPECT).forEach(e -> e.deadlineMs += gapMs);
    }

    /** The present members; made again only after one came or went, as every step asks for them. */
    private Entry[] presentArray() {
        Entry[] made = present;
        if (made == null) {
            made = entries.values().stream().filter(Entry::present).toArray(Entry[]::new);
            present = made;
        }
        return made;
    }

    private boolean admit(MemberRecord record, Source source, Step step) {
        Entry entry = new Entry(Records.member(record), record.getIncarnation());
        if (!claim(entry, source, step)) {
            return false;
        }
        entries.put(entry.host(), entry);
        present = null;
        step.changed(Change.Kind.JOINED, entry.member);
        if (source != Source.SYNC) {
            queue.add(entry.record(), true);
        }
        return true;
    }

    private boolean alive(Entry entry, MemberRecord record, Source source, Step step) {
        if (entry.state == MemberState.LEFT) {
            return false;
        }
        if (record.getIncarnation() <= entry.incarnation) {
            return known(entry, record, source);
        }
        boolean wasDead = entry.state == MemberState.DEAD;
        boolean wasSuspect = entry.state == MemberState.SUSPECT;
        Member member = Records.member(record);
        if (wasDead && !claim(new Entry(member, record.getIncarnation()), source, step)) {
            return false;
        }
        entry.member = member;
        entry.incarnation = record.getIncarnation();
        entry.state = MemberState.ALIVE;
        present = null;
        queue.add(entry.record(), source != Source.SYNC);
        step.changed(
                wasDead ? Change.Kind.JOINED : wasSuspect ? Change.Kind.CLEARED : Change.Kind.UPDATED, entry.member);
        return true;
    }

    /** Takes only the configuration's version from a record that is not newer. */
    private boolean known(Entry entry, MemberRecord record, Source source) {
        if (record.getConfigVersion() > entry.member.configVersion()) {
            entry.member = entry.member.withConfigVersion(record.getConfigVersion());
        }
        if (entry.state == MemberState.DEAD && source != Source.DIRECT) {
            // Whoever sent this holds it alive; the suspicion reaches the member itself, if it lives, to refute.
            queue.addIfAbsent(entry.record());
        }
        return false;
    }

    private boolean suspect(Entry entry, int incarnation, Step step) {
        if (entry.state != MemberState.ALIVE || incarnation < entry.incarnation) {
            return false;
        }
        entry.incarnation = incarnation;
        entry.state = MemberState.SUSPECT;
        entry.deadlineMs = step.nowMs + settings.suspicionMs();
        queue.add(entry.record(), true);
        step.changed(Change.Kind.SUSPECTED, entry.member);
        return true;
    }

    private boolean left(Entry entry, Step step) {
        if (entry.state == MemberState.LEFT) {
            return false;
        }
        boolean wasPresent = entry.present();
        entry.state = MemberState.LEFT;
        present = null;
        entry.deadlineMs = step.nowMs + settings.tombstoneMs();
        queue.add(entry.record(), true);
        if (wasPresent) {
            step.changed(Change.Kind.LEFT, entry.member);
        }
        return true;
    }

    /** Gives an address to a process; of two at one address the later started or directly heard one holds it. */
    private boolean claim(Entry entry, Source source, Step step) {
        Endpoint endpoint = entry.member.gossip();
        HostId holderId = holders.get(endpoint);
        Entry holder = holderId == null || holderId.equals(entry.host()) ? null : entries.get(holderId);
        if (holder != null && holder.present()) {
            boolean older = entry.member.startedMs() <= holder.member.startedMs();
            if (older && source != Source.DIRECT) {
                return false;
            }
            end(holder, MemberState.DEAD, Change.Kind.REPLACED, step);
            queue.add(holder.record(), true);
        }
        holders.put(endpoint, entry.host());
        return true;
    }

    private void end(Entry entry, MemberState state, Change.Kind kind, Step step) {
        entry.state = state;
        present = null;
        entry.deadlineMs = step.nowMs + settings.tombstoneMs();
        step.changed(kind, entry.member);
    }

    private boolean release(Entry entry) {
        holders.remove(entry.member.gossip(), entry.host());
        return true;
    }

    /** How a record came here. */
    enum Source {
        /** From the member itself. */
        DIRECT,
        /** Passed on by another. */
        GOSSIP,
        /** In answer to a comparison of the whole state. */
        SYNC
    }
}
