package org.celerygw.core.membership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.core.gen.fleet.FactRecord;
import org.celerygw.core.gen.fleet.FactRecordKind;
import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.gen.fleet.Packet;
import org.celerygw.core.gen.fleet.RecordState;
import org.jspecify.annotations.Nullable;

/** Records that still have to be passed on, each a bounded number of times, the least sent first. */
final class BroadcastQueue {
    /** An urgent record is pushed at once to some members in this many rounds. */
    private static final int PUSH_ROUNDS = 2;
    /** By how many sends one agreement with a random member counts. */
    private static final int AGREED_SENDS = 6;
    /** Field tag and length around a record. */
    private static final int FIELD_BYTES = 3;

    private static final Comparator<Item> ORDER = Comparator.comparing((Item i) -> !i.urgent)
            .thenComparingInt(i -> i.sends)
            .thenComparing(Comparator.comparingLong((Item i) -> i.order).reversed());

    private final Map<String, Item> items = new HashMap<>();
    private long orders;

    void add(MemberRecord record, boolean urgent) {
        put("m" + record.getHost(), new Item(record, null, urgent, ++orders));
    }

    void addIfAbsent(MemberRecord record) {
        if (!items.containsKey("m" + record.getHost())) {
            add(record, false);
        }
    }

    void add(FactRecord record) {
        boolean load = record.getKind() == FactRecordKind.BACKEND_LOAD;
        put((load ? "l" : "b") + record.getSubject(), new Item(null, record, !load, ++orders));
    }

    boolean hasPushes() {
        return items.values().stream().anyMatch(i -> i.urgent && i.pushes < PUSH_ROUNDS);
    }

    /** Adds records that fit into the room and counts them as sent; a record ends after {@code maxSends}. */
    void fill(Packet.Builder packet, int roomBytes, int maxSends) {
        if (items.isEmpty()) {
            return;
        }
        int room = roomBytes;
        for (Item item : items.values().stream().sorted(ORDER).toList()) {
            if (room < FIELD_BYTES) {
                return;
            }
            if (item.bytes() + FIELD_BYTES <= room) {
                item.addTo(packet);
                room -= item.bytes() + FIELD_BYTES;
                item.sends++;
            }
        }
        items.values().removeIf(i -> i.sends >= (i.urgent ? maxSends : maxSends / 2));
    }

    /** Takes the urgent records for one push round, as many as fit. */
    Packet.Builder push(Packet.Builder packet, int roomBytes) {
        int room = roomBytes;
        List<Item> due = items.values().stream()
                .filter(i -> i.urgent && i.pushes < PUSH_ROUNDS)
                .sorted(ORDER)
                .toList();
        for (Item item : due) {
            if (item.bytes() + FIELD_BYTES <= room) {
                item.addTo(packet);
                room -= item.bytes() + FIELD_BYTES;
                item.pushes++;
                item.sends++;
            }
        }
        return packet;
    }

    /** A random member holds the same state: what the digest covers needs to be passed on less often. */
    void agreed() {
        items.values().stream().filter(Item::inDigest).forEach(i -> i.sends += AGREED_SENDS);
    }

    private void put(String key, Item item) {
        items.put(key, item);
    }

    private static final class Item {
        private final @Nullable MemberRecord member;
        private final @Nullable FactRecord fact;
        private final boolean urgent;
        private final long order;
        private int sends;
        private int pushes;

        Item(@Nullable MemberRecord member, @Nullable FactRecord fact, boolean urgent, long order) {
            this.member = member;
            this.fact = fact;
            this.urgent = urgent;
            this.order = order;
        }

        int bytes() {
            return (member == null ? 0 : member.getSerializedSize()) + (fact == null ? 0 : fact.getSerializedSize());
        }

        boolean inDigest() {
            return member == null ? urgent : member.getState() == RecordState.ALIVE;
        }

        void addTo(Packet.Builder packet) {
            if (member != null) {
                packet.addMembers(member);
            }
            if (fact != null) {
                packet.addFacts(fact);
            }
        }
    }
}
