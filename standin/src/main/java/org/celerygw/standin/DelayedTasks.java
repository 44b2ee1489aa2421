package org.celerygw.standin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on an executor. */
final class DelayedTasks {
    private DelayedTasks() {}

    /** Runs a task on the executor after a delay; the executor must not run tasks on the calling thread's stack. */
    static void schedule(Executor executor, long delayMs, Runnable task) {
        Executor delayed =
                delayMs == 0 ? executor : CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, executor);
        delayed.execute(task);
    }
}
