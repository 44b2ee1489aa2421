package org.celerygw.gateway.log;

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs steps of work that the event loop starts: timers and the handling of responses and datagrams. What a step throws is
 * logged and counted here, since the event loop would drop it without a line.
 */
public final class StepFailures {
    private static final Logger LOG = LoggerFactory.getLogger("host");
    private static final AtomicLong COUNT = new AtomicLong();

    private StepFailures() {}

    /**
     * Runs a step; returns normally also if the step throws.
     *
     * @param step what the step does, for the log
     * @param action the step
     */
    // Errors too: a StackOverflowError ends a step like an exception and says nothing about the next one.
    public static void run(String step, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            record(step, e);
        }
    }

    private static void record(String step, Throwable failure) {
        COUNT.incrementAndGet();
        StackTraceElement[] trace = failure.getStackTrace();
        LOG.atError()
                .addKeyValue("step", step)
                .addKeyValue("cause", failure.toString())
                .addKeyValue("at", trace.length == 0 ? "" : trace[0].toString())
                .log("host: a step of work has failed; the others go on");
    }

    /**
     * Returns how many steps have failed.
     *
     * @return the number since the start of the process
     */
    public static long count() {
        return COUNT.get();
    }
}
