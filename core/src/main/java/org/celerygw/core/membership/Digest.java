package org.celerygw.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.gen.fleet.FactRecord;
import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.gen.fleet.Packet;
import org.celerygw.core.gen.fleet.RecordState;

/**
 * Compares the complete state of two members by one hash per bucket, so that only the records of buckets that differ
 * are sent. Records are assigned to {@link #BUCKETS} buckets by the hash of their key.
 */
final class Digest {
    static final int BUCKETS = 48;

    /** Size of the protobuf field tag and length that precede a record. */
    private static final int FIELD_OVERHEAD_BYTES = 3;

    private Digest() {}

    /** Returns one hash per bucket, over the given members and the leaving marks of {@code facts}. */
    static List<Integer> bucketHashes(List<Item> members, FactTable facts) {
        int[] hashes = new int[BUCKETS];
        members.forEach(m -> hashes[m.bucket()] += m.hash());
        facts.leavingMarkRecords().forEach(f -> hashes[bucket(f.getSubject())] += FactTable.hash(f));
        List<Integer> buckets = new ArrayList<>(BUCKETS);
        for (int hash : hashes) {
            buckets.add(hash);
        }
        return buckets;
    }

    /**
     * Adds the records of the buckets that differ to a packet, starting at {@code firstBucket}, and leaves out those
     * that no longer fit into {@code capacityBytes}. Returns whether the packet has any records.
     */
    static boolean addDifferences(
            Packet.Builder packet,
            List<Item> members,
            FactTable facts,
            List<Integer> localHashes,
            List<Integer> remoteHashes,
            int firstBucket,
            int capacityBytes) {
        if (remoteHashes.size() != BUCKETS) {
            return false;
        }
        int[] remainingBytes = {capacityBytes};
        for (int i = 0; i < BUCKETS; i++) {
            int bucket = (firstBucket + i) % BUCKETS;
            if (!localHashes.get(bucket).equals(remoteHashes.get(bucket))) {
                members.stream()
                        .filter(m -> m.bucket() == bucket)
                        .forEach(m -> addIfFits(
                                m.record().getSerializedSize(), remainingBytes, m.record(), packet::addMembers));
                facts.leavingMarkRecords().stream()
                        .filter(f -> bucket(f.getSubject()) == bucket)
                        .forEach(f -> addIfFits(
                                f.getSerializedSize(), remainingBytes, f, (FactRecord r) -> packet.addFacts(r)));
            }
        }
        return packet.getMembersCount() + packet.getFactsCount() > 0;
    }

    /**
     * A present member in the digest.
     *
     * @param bucket the bucket that its host id is assigned to
     * @param hash the hash of what all members must agree on: host id, incarnation and whether it has left
     * @param record sent when the hashes of the bucket differ
     */
    record Item(int bucket, int hash, MemberRecord record) {
        static Item of(MemberRecord record) {
            return new Item(Digest.bucket(record.getHost()), Digest.hash(record), record);
        }
    }

    private static <T> void addIfFits(int bytes, int[] remainingBytes, T record, Consumer<T> add) {
        if (bytes + FIELD_OVERHEAD_BYTES <= remainingBytes[0]) {
            add.accept(record);
            remainingBytes[0] -= bytes + FIELD_OVERHEAD_BYTES;
        }
    }

    private static int bucket(String key) {
        return Math.floorMod(
                Hashing.murmur3_32_fixed()
                        .hashString(key, StandardCharsets.UTF_8)
                        .asInt(),
                BUCKETS);
    }

    private static int hash(MemberRecord member) {
        return Hashing.murmur3_32_fixed()
                .newHasher()
                .putString(member.getHost(), StandardCharsets.UTF_8)
                .putInt(member.getIncarnation())
                .putInt(member.getState() == RecordState.LEFT ? 1 : 0)
                .hash()
                .asInt();
    }
}
