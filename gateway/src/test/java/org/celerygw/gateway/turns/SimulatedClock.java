package org.celerygw.gateway.turns;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/** A clock with its scheduler and executor, whose time moves only in {@link #advance}. */
public final class SimulatedClock implements Clock, Scheduler, Executor {
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::dueMs).thenComparingLong(ScheduledTask::sequence));
    private long nowMs = 1_000_000;
    private long nextSequence;

    private record ScheduledTask(long dueMs, long sequence, Runnable task) {}

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public void schedule(long delayMs, Runnable task) {
        tasks.add(new ScheduledTask(nowMs + delayMs, nextSequence++, task));
    }

    /** Runs the task 1 ms from now, never on the caller's stack. */
    @Override
    public void execute(Runnable task) {
        schedule(1, task);
    }

    /** Moves the time forward and runs all tasks due by then, in order of time. */
    public void advance(long durationMs) {
        long untilMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.peek().dueMs() <= untilMs) {
            ScheduledTask next = tasks.poll();
            nowMs = Math.max(nowMs, next.dueMs());
            next.task().run();
        }
        nowMs = untilMs;
    }
}
