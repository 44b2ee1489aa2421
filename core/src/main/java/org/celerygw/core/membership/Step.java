package org.celerygw.core.membership;

import java.util.ArrayList;
import java.util.List;

/** One step of the membership: its time, and the datagrams and events that it has produced so far. */
final class Step {
    final long nowMs;
    private final List<Datagram> datagrams = new ArrayList<>();
    private final List<Change> memberChanges = new ArrayList<>();
    private final List<News> factUpdates = new ArrayList<>();

    Step(long nowMs) {
        this.nowMs = nowMs;
    }

    void send(Datagram datagram) {
        datagrams.add(datagram);
    }

    void memberChanged(Change.Kind kind, Member member) {
        memberChanges.add(new Change(kind, member, nowMs));
    }

    void factUpdated(News update) {
        factUpdates.add(update);
    }

    Output toOutput() {
        return new Output(datagrams, memberChanges, factUpdates);
    }
}
