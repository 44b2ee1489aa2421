package org.celerygw.standin;

import java.util.EnumMap;
import java.util.Map;
import org.celerygw.core.helper.Check;

/**
 * The faults that one stand-in injects from now on. Thread-safe.
 *
 * <pre>{@code
 * faults.next(Fault.LOST_ANSWER, 1);
 * faults.always(Fault.DOWN);
 * faults.clear();
 * }</pre>
 */
public final class Faults {
    private static final int ALWAYS = -1;

    private final Map<Fault, Integer> remaining = new EnumMap<>(Fault.class);
    private long slowMs;

    /**
     * Injects a fault into every request until cleared.
     *
     * @param fault the fault
     * @return this
     */
    public synchronized Faults always(Fault fault) {
        remaining.put(fault, ALWAYS);
        return this;
    }

    /**
     * Injects a fault into the next requests that can have it.
     *
     * @param fault the fault
     * @param count how many requests; 0 stops it
     * @return this
     */
    public synchronized Faults next(Fault fault, int count) {
        Check.notNegative(count, "count");
        remaining.put(fault, count);
        return this;
    }

    /**
     * Makes every request wait before it takes effect.
     *
     * @param delayMs the wait; 0 stops it
     * @return this
     */
    public synchronized Faults slowMs(long delayMs) {
        slowMs = Check.notNegative(delayMs, "delayMs");
        return delayMs == 0 ? next(Fault.SLOW, 0) : always(Fault.SLOW);
    }

    /**
     * Stops all faults.
     *
     * @return this
     */
    public synchronized Faults clear() {
        remaining.clear();
        slowMs = 0;
        return this;
    }

    /** Returns whether this request has the fault, and counts it. */
    synchronized boolean take(Fault fault) {
        int left = remaining.getOrDefault(fault, 0);
        if (left == 0) {
            return false;
        }
        if (left != ALWAYS) {
            remaining.put(fault, left - 1);
        }
        return true;
    }

    /** Returns how long this request waits before it takes effect. */
    synchronized long takeDelayMs() {
        return take(Fault.SLOW) ? slowMs : 0;
    }
}
