package org.celerygw.core.membership;

import java.util.ArrayList;
import java.util.List;

/** Collects what one step yields. */
final class Step {
    final long nowMs;
    private final List<Datagram> datagrams = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();
    private final List<News> news = new ArrayList<>();

    Step(long nowMs) {
        this.nowMs = nowMs;
    }

    void send(Datagram datagram) {
        datagrams.add(datagram);
    }

    void changed(Change.Kind kind, Member member) {
        changes.add(new Change(kind, member, nowMs));
    }

    void heard(News item) {
        news.add(item);
    }

    Output output() {
        return new Output(datagrams, changes, news);
    }
}
