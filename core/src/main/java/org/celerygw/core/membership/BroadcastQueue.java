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

/**
 * Records that are still to be disseminated. Each is sent a bounded number of times: urgent records first, then those
 * sent least often, then the newest.
 */
final class BroadcastQueue {
    /** Number of rounds in which an urgent record is pushed to random members without waiting for a probe. */
    private static final int PUSH_ROUNDS = 2;
    /** Number of sends that one agreement of digests with a random member counts as. */
    private static final int AGREEMENT_SENDS = 6;
    /** Size of the protobuf field tag and length that precede a record. */
    private static final int FIELD_OVERHEAD_BYTES = 3;

    private static final Comparator<QueuedRecord> SEND_ORDER = Comparator.comparing((QueuedRecord r) -> !r.urgent)
            .thenComparingInt(r -> r.sends)
            .thenComparing(Comparator.comparingLong((QueuedRecord r) -> r.insertionNumber)
                    .reversed());

    private final Map<String, QueuedRecord> records = new HashMap<>();
    private long lastInsertionNumber;

    void add(MemberRecord record, boolean urgent) {
        replace("m" + record.getHost(), new QueuedRecord(record, null, urgent, ++lastInsertionNumber));
    }

    void addIfAbsent(MemberRecord record) {
        if (!records.containsKey("m" + record.getHost())) {
            add(record, false);
        }
    }

    void add(FactRecord record) {
        boolean isLoad = record.getKind() == FactRecordKind.BACKEND_LOAD;
        replace(
                (isLoad ? "l" : "b") + record.getSubject(),
                new QueuedRecord(null, record, !isLoad, ++lastInsertionNumber));
    }

    boolean hasPendingPushes() {
        return records.values().stream().anyMatch(r -> r.urgent && r.pushes < PUSH_ROUNDS);
    }

    /**
     * Adds the records that fit into {@code capacityBytes} to a packet and counts them as sent. Urgent records are
     * removed after {@code maxSends} sends, all others after half as many.
     */
    void addPiggybacked(Packet.Builder packet, int capacityBytes, int maxSends) {
        if (records.isEmpty()) {
            return;
        }
        int remainingBytes = capacityBytes;
        for (QueuedRecord queued : records.values().stream().sorted(SEND_ORDER).toList()) {
            if (remainingBytes < FIELD_OVERHEAD_BYTES) {
                return;
            }
            if (queued.sizeBytes() + FIELD_OVERHEAD_BYTES <= remainingBytes) {
                queued.addTo(packet);
                remainingBytes -= queued.sizeBytes() + FIELD_OVERHEAD_BYTES;
                queued.sends++;
            }
        }
        records.values().removeIf(r -> r.sends >= (r.urgent ? maxSends : maxSends / 2));
    }

    /** Adds the urgent records of one push round, as many as fit into {@code capacityBytes}. */
    Packet.Builder addPushed(Packet.Builder packet, int capacityBytes) {
        int remainingBytes = capacityBytes;
        List<QueuedRecord> pending = records.values().stream()
                .filter(r -> r.urgent && r.pushes < PUSH_ROUNDS)
                .sorted(SEND_ORDER)
                .toList();
        for (QueuedRecord queued : pending) {
            if (queued.sizeBytes() + FIELD_OVERHEAD_BYTES <= remainingBytes) {
                queued.addTo(packet);
                remainingBytes -= queued.sizeBytes() + FIELD_OVERHEAD_BYTES;
                queued.pushes++;
                queued.sends++;
            }
        }
        return packet;
    }

    /** Called when a random member has the same digest: the records that the digest covers then need fewer sends. */
    void recordAgreement() {
        records.values().stream().filter(QueuedRecord::isInDigest).forEach(r -> r.sends += AGREEMENT_SENDS);
    }

    private void replace(String key, QueuedRecord queued) {
        records.put(key, queued);
    }

    private static final class QueuedRecord {
        private final @Nullable MemberRecord member;
        private final @Nullable FactRecord fact;
        private final boolean urgent;
        private final long insertionNumber;
        private int sends;
        private int pushes;

        QueuedRecord(@Nullable MemberRecord member, @Nullable FactRecord fact, boolean urgent, long insertionNumber) {
            this.member = member;
            this.fact = fact;
            this.urgent = urgent;
            this.insertionNumber = insertionNumber;
        }

        int sizeBytes() {
            return (member == null ? 0 : member.getSerializedSize()) + (fact == null ? 0 : fact.getSerializedSize());
        }

        boolean isInDigest() {
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
