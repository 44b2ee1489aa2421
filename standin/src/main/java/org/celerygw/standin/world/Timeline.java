package org.celerygw.standin.world;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Model time: tasks run in the order of their time, and in the order of their planning at one time. */
final class Timeline {
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::number));
    private long nowMs = 1_000_000;
    private long planned;

    private record Task(long atMs, long number, Runnable work) {}

    long nowMs() {
        return nowMs;
    }

    void after(long delayMs, Runnable work) {
        tasks.add(new Task(nowMs + Math.max(0, delayMs), planned++, work));
    }

    void run(long forMs) {
        long endMs = nowMs + forMs;
        while (!tasks.isEmpty() && tasks.element().atMs() <= endMs) {
            Task task = tasks.remove();
            nowMs = task.atMs();
            task.work().run();
        }
        nowMs = endMs;
    }
}
