package org.celerygw.standin;

import java.util.EnumMap;
import java.util.Map;
import org.celerygw.core.helper.Check;

/**
 * The faults that one stand-in injects into the requests it receives. Thread-safe.
 *
 * <pre>{@code
 * faults.injectNext(Fault.LOST_ANSWER, 1);
 * faults.injectAlways(Fault.DOWN);
 * faults.clear();
 * }</pre>
 */
public final class Faults {
    private static final int ALWAYS = -1;

    private final Map<Fault, Integer> remainingCounts = new EnumMap<>(Fault.class);
    private long delayMs;

    /**
     * Injects a fault into every request until it is cleared.
     *
     * @param fault the fault to inject
     * @return this object
     */
    public synchronized Faults injectAlways(Fault fault) {
        remainingCounts.put(fault, ALWAYS);
        return this;
    }

    /**
     * Injects a fault into the next requests to which it applies.
     *
     * @param fault the fault to inject
     * @param count the number of requests; 0 stops the fault
     * @return this object
     */
    public synchronized Faults injectNext(Fault fault, int count) {
        Check.notNegative(count, "count");
        remainingCounts.put(fault, count);
        return this;
    }

    /**
     * Delays every request before it takes effect.
     *
     * @param newDelayMs the delay; 0 stops it
     * @return this object
     */
    public synchronized Faults setDelayMs(long newDelayMs) {
        delayMs = Check.notNegative(newDelayMs, "delayMs");
        return newDelayMs == 0 ? injectNext(Fault.SLOW, 0) : injectAlways(Fault.SLOW);
    }

    /**
     * Clears all faults and the delay.
     *
     * @return this object
     */
    public synchronized Faults clear() {
        remainingCounts.clear();
        delayMs = 0;
        return this;
    }

    /** Returns whether to inject the fault into the current request, and counts it as used. */
    synchronized boolean consume(Fault fault) {
        int left = remainingCounts.getOrDefault(fault, 0);
        if (left == 0) {
            return false;
        }
        if (left != ALWAYS) {
            remainingCounts.put(fault, left - 1);
        }
        return true;
    }

    /** Returns the delay before the current request takes effect, and counts it as used. */
    synchronized long nextDelayMs() {
        return consume(Fault.SLOW) ? delayMs : 0;
    }
}
