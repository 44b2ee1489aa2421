package org.celerygw.gateway.turns;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/** A clock that jumps from task to task. */
public final class ModelTime implements Clock, Scheduler, Executor {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
    private long nowMs = 1_000_000;
    private long count;

    private record Task(long atMs, long number, Runnable run) {}

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public void after(long delayMs, Runnable task) {
        tasks.add(new Task(nowMs + delayMs, count++, task));
    }

    @Override
    public void execute(Runnable task) {
        after(1, task);
    }

    /** Runs what is due within this time. */
    public void run(long forMs) {
        long untilMs = nowMs + forMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
            Task next = tasks.poll();
            nowMs = Math.max(nowMs, next.atMs());
            next.run().run();
        }
        nowMs = untilMs;
    }
}
