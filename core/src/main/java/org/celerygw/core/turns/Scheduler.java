package org.celerygw.core.turns;

/** Runs a task later, on the same thread. */
@FunctionalInterface
public interface Scheduler {
    /**
     * Runs a task once.
     *
     * @param delayMs how long to wait
     * @param task what to run
     */
    void after(long delayMs, Runnable task);
}
