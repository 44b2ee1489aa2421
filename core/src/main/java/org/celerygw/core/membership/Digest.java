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
 * Compares the whole state of two members by one hash for each of {@link #BUCKETS} buckets, so that only records of
 * buckets that differ travel.
 */
final class Digest {
    static final int BUCKETS = 48;

    private static final int FIELD_BYTES = 3;

    private Digest() {}

    /** The hashes of all present members, this one included, and of the kept facts. */
    static List<Integer> of(List<Item> members, FactTable facts) {
        int[] sums = new int[BUCKETS];
        members.forEach(m -> sums[m.bucket()] += m.hash());
        facts.kept().forEach(f -> sums[bucket(f.getSubject())] += FactTable.hash(f));
        List<Integer> buckets = new ArrayList<>(BUCKETS);
        for (int sum : sums) {
            buckets.add(sum);
        }
        return buckets;
    }

    /** Adds the records of differing buckets, from a given bucket on, until the room is used. */
    static boolean difference(
            Packet.Builder packet,
            List<Item> members,
            FactTable facts,
            List<Integer> ours,
            List<Integer> theirs,
            int firstBucket,
            int roomBytes) {
        if (theirs.size() != BUCKETS) {
            return false;
        }
        int[] room = {roomBytes};
        for (int i = 0; i < BUCKETS; i++) {
            int bucket = (firstBucket + i) % BUCKETS;
            if (!ours.get(bucket).equals(theirs.get(bucket))) {
                members.stream()
                        .filter(m -> m.bucket() == bucket)
                        .forEach(m -> fit(m.record().getSerializedSize(), room, m.record(), packet::addMembers));
                facts.kept().stream()
                        .filter(f -> bucket(f.getSubject()) == bucket)
                        .forEach(f -> fit(f.getSerializedSize(), room, f, (FactRecord r) -> packet.addFacts(r)));
            }
        }
        return packet.getMembersCount() + packet.getFactsCount() > 0;
    }

    /**
     * One present member in the digest.
     *
     * @param bucket its bucket
     * @param hash of what members must agree on
     * @param record what travels when they do not
     */
    record Item(int bucket, int hash, MemberRecord record) {
        static Item of(MemberRecord record) {
            return new Item(Digest.bucket(record.getHost()), Digest.hash(record), record);
        }
    }

    private static <T> void fit(int bytes, int[] room, T record, Consumer<T> add) {
        if (bytes + FIELD_BYTES <= room[0]) {
            add.accept(record);
            room[0] -= bytes + FIELD_BYTES;
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
