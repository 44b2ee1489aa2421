package org.celerygw.core.turns;

/** Runs tasks after a delay, on the thread that schedules them. */
@FunctionalInterface
public interface Scheduler {
    /**
     * Runs a task once, after a delay.
     *
     * @param delayMs the delay, in ms
     * @param task the task to run
     */
    void schedule(long delayMs, Runnable task);
}
