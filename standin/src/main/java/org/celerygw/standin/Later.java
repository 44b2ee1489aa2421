package org.celerygw.standin;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Runs tasks later on an executor. */
final class Later {
    private Later() {}

    /** Runs a task on the executor after a wait, never on the calling stack. */
    static void run(Executor executor, long delayMs, Runnable task) {
        Executor chosen =
                delayMs == 0 ? executor : CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS, executor);
        chosen.execute(task);
    }
}
