package org.celerygw.core.scheduling;

/**
 * The phases of a host's graceful stop. At first it accepts connections, until the load balancer has had time to notice;
 * then it only answers what it has; and all answers are sent before the process is killed.
 */
public final class GracefulStop {
    private static final long MAX_ACCEPT_MS = 3_200;
    /** For a process that is slow to end, and for answers on their way. */
    private static final long MARGIN_MS = 700;

    /** A request that cannot be repeated elsewhere gets more time than the average. */
    private static final int UNREPEATABLE_RESPONSE_TIME_FACTOR = 4;

    private static final int REPEATABLE_RESPONSE_TIME_FACTOR = 2;

    private final long acceptUntilMs;
    private final long answerUntilMs;

    /**
     * Begins a stop.
     *
     * @param startedMs the current time, in ms
     * @param graceMs the time from now until the process may be killed, in ms
     */
    public GracefulStop(long startedMs, long graceMs) {
        this.acceptUntilMs = startedMs + Math.min(MAX_ACCEPT_MS, graceMs / 2);
        this.answerUntilMs = startedMs + Math.max(graceMs / 2, graceMs - MARGIN_MS);
    }

    /**
     * Returns whether connections are accepted and idle ones stay open.
     *
     * @param nowMs the current time, in ms
     * @return false once the load balancer has had time to notice
     */
    public boolean acceptsConnections(long nowMs) {
        return nowMs < acceptUntilMs;
    }

    /**
     * Returns the time at which each request must have been answered.
     *
     * @return the time, in ms
     */
    public long answerUntilMs() {
        return answerUntilMs;
    }

    /**
     * Returns whether a request that arrives now can probably be answered. One that cannot is better refused at once, so
     * that its client goes to another host.
     *
     * @param nowMs the current time, in ms
     * @param averageMs the average response time of its route, in ms
     * @param repeatable whether it could run once more elsewhere
     * @return false if too little time is left
     */
    public boolean canAnswer(long nowMs, long averageMs, boolean repeatable) {
        int factor = repeatable ? REPEATABLE_RESPONSE_TIME_FACTOR : UNREPEATABLE_RESPONSE_TIME_FACTOR;
        return nowMs + factor * averageMs < answerUntilMs;
    }
}
