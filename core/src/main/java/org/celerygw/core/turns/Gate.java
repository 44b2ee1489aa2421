package org.celerygw.core.turns;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.celerygw.core.time.Clock;

/**
 * A circuit breaker before one partition of the store. While that does not answer, one program at a time asks, and the
 * others wait for how that ends: an outage costs the store a few calls a second, however many programs wait.
 */
final class Gate {
    private static final int ENOUGH_UNKNOWN = 2;
    private static final long SHORTEST_PAUSE_MS = 40;
    private static final long LONGEST_PAUSE_MS = 400;
    private static final int MOST_DOUBLINGS = 4;
    private static final long RELEASE_MS = 100;

    private final Clock clock;
    private final Scheduler scheduler;
    private final Consumer<ProgramEntry> goOn;
    private final Set<ProgramEntry> waiting = new LinkedHashSet<>();
    private int unknownInRow;
    private long closedUntilMs;
    private boolean probing;
    private boolean waking;

    /** Makes an open gate; programs that waited go on by the task given. */
    Gate(Clock clock, Scheduler scheduler, Consumer<ProgramEntry> goOn) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.goOn = goOn;
    }

    /** Returns whether the partition answers at present: false after two calls in a row of which nothing is known. */
    boolean answering() {
        return unknownInRow < ENOUGH_UNKNOWN;
    }

    /** Returns whether a program may call now; if not, it goes on later. */
    boolean pass(ProgramEntry entry) {
        if (answering()) {
            return true;
        }
        if (probing || clock.nowMs() < closedUntilMs) {
            waiting.add(entry);
            wake();
            return false;
        }
        probing = true;
        return true;
    }

    /** Notes how a call ended. */
    void answered(boolean known) {
        unknownInRow = known ? 0 : unknownInRow + 1;
        probing = false;
        if (known) {
            List<ProgramEntry> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(e -> scheduler.after(Math.floorMod(e.program.hashCode(), RELEASE_MS), () -> goOn.accept(e)));
        } else {
            closedUntilMs = clock.nowMs() + pauseMs();
            wake();
        }
    }

    /** Returns how long to wait before the partition is asked again. */
    long pauseMs() {
        return Math.min(LONGEST_PAUSE_MS, SHORTEST_PAUSE_MS << Math.min(unknownInRow, MOST_DOUBLINGS));
    }

    /** Has the first that waits ask once the pause is over; while one asks, its answer does that. */
    private void wake() {
        if (waking || probing || waiting.isEmpty()) {
            return;
        }
        waking = true;
        scheduler.after(Math.max(1, closedUntilMs - clock.nowMs()), () -> {
            waking = false;
            Iterator<ProgramEntry> first = waiting.iterator();
            if (!probing && first.hasNext()) {
                ProgramEntry entry = first.next();
                first.remove();
                goOn.accept(entry);
                wake();
            }
        });
    }
}
