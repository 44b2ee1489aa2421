package org.celerygw.core.membership;

import java.util.ArrayList;
import java.util.List;

/** One step of the membership: its time, and the datagrams and events that it has produced so far. */
final class Step {
    final long nowMs;
    private final List<Datagram> datagrams = new ArrayList<>();
    private final List<MemberChange> memberChanges = new ArrayList<>();
    private final List<FactUpdate> factUpdates = new ArrayList<>();

    Step(long nowMs) {
        this.nowMs = nowMs;
    }

    void send(Datagram datagram) {
        datagrams.add(datagram);
    }

    void memberChanged(MemberChange.Kind kind, Member member) {
        memberChanges.add(new MemberChange(kind, member, nowMs));
    }

    void factUpdated(FactUpdate update) {
        factUpdates.add(update);
    }

    MembershipOutput toOutput() {
        return new MembershipOutput(datagrams, memberChanges, factUpdates);
    }
}
