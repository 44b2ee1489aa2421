package org.celerygw.core.turns;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.celerygw.core.time.Clock;

/**
 * Circuit breaker for one partition of the store. While it is open, only one program at a time may send a probe call
 * and all others wait for its result, so the store gets a few calls a second during an outage, no matter how many
 * programs are waiting.
 */
final class PartitionCircuitBreaker {
    private static final int UNKNOWN_CALLS_TO_OPEN = 2;
    private static final long MIN_PAUSE_MS = 40;
    private static final long MAX_PAUSE_MS = 400;
    private static final int MAX_DOUBLINGS = 4;
    private static final long RELEASE_SPREAD_MS = 100;

    private final Clock clock;
    private final Scheduler scheduler;
    private final Consumer<CachedProgram> resume;
    private final Set<CachedProgram> waitingPrograms = new LinkedHashSet<>();
    private int consecutiveUnknownCalls;
    private long openUntilMs;
    private boolean probeInFlight;
    private boolean probeScheduled;

    /**
     * Creates a closed circuit breaker.
     *
     * @param resume called for each waiting program when it may call the store again
     */
    PartitionCircuitBreaker(Clock clock, Scheduler scheduler, Consumer<CachedProgram> resume) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.resume = resume;
    }

    /** Returns whether the partition responds: false after two consecutive calls with an unknown result. */
    boolean isClosed() {
        return consecutiveUnknownCalls < UNKNOWN_CALLS_TO_OPEN;
    }

    /** Returns whether a program may call the store now; if not, the program waits and is resumed later. */
    boolean tryAcquire(CachedProgram program) {
        if (isClosed()) {
            return true;
        }
        if (probeInFlight || clock.nowMs() < openUntilMs) {
            waitingPrograms.add(program);
            scheduleProbe();
            return false;
        }
        probeInFlight = true;
        return true;
    }

    /**
     * Records the end of a call. A known result closes the breaker and resumes the waiting programs, spread over
     * {@value #RELEASE_SPREAD_MS} ms; an unknown one extends the pause.
     */
    void recordResult(boolean resultKnown) {
        consecutiveUnknownCalls = resultKnown ? 0 : consecutiveUnknownCalls + 1;
        probeInFlight = false;
        if (resultKnown) {
            List<CachedProgram> programs = List.copyOf(waitingPrograms);
            waitingPrograms.clear();
            programs.forEach(p ->
                    scheduler.schedule(Math.floorMod(p.safeId.hashCode(), RELEASE_SPREAD_MS), () -> resume.accept(p)));
        } else {
            openUntilMs = clock.nowMs() + pauseMs();
            scheduleProbe();
        }
    }

    /** Returns how long to wait before the next call to the partition, with exponential backoff. */
    long pauseMs() {
        return Math.min(MAX_PAUSE_MS, MIN_PAUSE_MS << Math.min(consecutiveUnknownCalls, MAX_DOUBLINGS));
    }

    /**
     * Schedules the first waiting program to send a probe call after the pause. Does nothing while a probe is in
     * flight, since its result resumes the waiting programs or schedules the next probe.
     */
    private void scheduleProbe() {
        if (probeScheduled || probeInFlight || waitingPrograms.isEmpty()) {
            return;
        }
        probeScheduled = true;
        scheduler.schedule(Math.max(1, openUntilMs - clock.nowMs()), () -> {
            probeScheduled = false;
            Iterator<CachedProgram> waiting = waitingPrograms.iterator();
            if (!probeInFlight && waiting.hasNext()) {
                CachedProgram program = waiting.next();
                waiting.remove();
                resume.accept(program);
                scheduleProbe();
            }
        });
    }
}
