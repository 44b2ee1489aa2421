package org.celerygw.core.membership;

import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.gen.fleet.RecordState;
import org.celerygw.core.id.HostId;
import org.jspecify.annotations.Nullable;

/** The local state of one other member: its last known record, its state and its replay window. */
final class MemberEntry {
    final ReplayWindow replayWindow = new ReplayWindow();
    Member member;
    int incarnation;
    MemberState state = MemberState.ALIVE;
    /** The time at which a suspect is declared dead, or an absent member is removed from the table. */
    long expiresAtMs;

    private Digest.@Nullable Item digestItem;
    private @Nullable Member digestItemMember;
    private int digestItemIncarnation;

    MemberEntry(Member member, int incarnation) {
        this.member = member;
        this.incarnation = incarnation;
    }

    HostId host() {
        return member.host();
    }

    boolean isPresent() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** Returns the digest item of a present member; rebuilt only after its record or incarnation changed. */
    Digest.Item digestItem() {
        Digest.Item current = digestItem;
        if (current == null || !member.equals(digestItemMember) || incarnation != digestItemIncarnation) {
            current = Digest.Item.of(MemberRecords.aliveRecord(member, incarnation));
            digestItem = current;
            digestItemMember = member;
            digestItemIncarnation = incarnation;
        }
        return current;
    }

    /**
     * Returns the record to send to other members. A dead member is sent as suspect, so that each receiver declares it
     * dead only when the member does not refute the suspicion there either.
     */
    MemberRecord toRecord() {
        return switch (state) {
            case ALIVE -> MemberRecords.aliveRecord(member, incarnation);
            case SUSPECT, DEAD -> MemberRecords.stateRecord(host(), incarnation, RecordState.SUSPECT);
            case LEFT -> MemberRecords.stateRecord(host(), incarnation, RecordState.LEFT);
        };
    }
}
