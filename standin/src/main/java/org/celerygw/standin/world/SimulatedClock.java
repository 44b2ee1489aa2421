package org.celerygw.standin.world;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time with a task queue. Tasks run by due time; tasks due at the same time run in the order scheduled. */
final class SimulatedClock {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::dueMs).thenComparingLong(Task::sequence));
    private long nowMs = 1_000_000;
    private long tasksScheduled;

    private record Task(long dueMs, long sequence, Runnable action) {}

    long nowMs() {
        return nowMs;
    }

    void schedule(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + Math.max(0, delayMs), tasksScheduled++, action));
    }

    /** Advances the clock by a duration and runs all tasks that fall due in it. */
    void advance(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.element().dueMs() <= endMs) {
            Task task = tasks.remove();
            nowMs = task.dueMs();
            task.action().run();
        }
        nowMs = endMs;
    }
}
