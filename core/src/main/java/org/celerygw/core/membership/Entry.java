package org.celerygw.core.membership;

import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.gen.fleet.RecordState;
import org.celerygw.core.id.HostId;
import org.jspecify.annotations.Nullable;

/** What this daemon holds of one other member. */
final class Entry {
    final ReplayWindow window = new ReplayWindow();
    Member member;
    int incarnation;
    MemberState state = MemberState.ALIVE;
    /** When a suspect is held dead, or a dead member is forgotten. */
    long deadlineMs;

    private Digest.@Nullable Item item;
    private @Nullable Member itemMember;
    private int itemIncarnation;

    Entry(Member member, int incarnation) {
        this.member = member;
        this.incarnation = incarnation;
    }

    HostId host() {
        return member.host();
    }

    boolean present() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }

    /** What the digest holds of it while it is present; made again only after a change. */
    Digest.Item item() {
        Digest.Item made = item;
        if (made == null || !member.equals(itemMember) || incarnation != itemIncarnation) {
            made = Digest.Item.of(Records.alive(member, incarnation));
            item = made;
            itemMember = member;
            itemIncarnation = incarnation;
        }
        return made;
    }

    /** What others are told of it; of a dead one that it is suspect, so that only its own silence kills it there. */
    MemberRecord record() {
        return switch (state) {
            case ALIVE -> Records.alive(member, incarnation);
            case SUSPECT, DEAD -> Records.brief(host(), incarnation, RecordState.SUSPECT);
            case LEFT -> Records.brief(host(), incarnation, RecordState.LEFT);
        };
    }
}
