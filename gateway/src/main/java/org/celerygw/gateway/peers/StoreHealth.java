package org.celerygw.gateway.peers;

import org.celerygw.core.time.Clock;

/** Tracks whether, and how quickly, the store answers this host. */
public final class StoreHealth {
    private static final long MAX_ANSWER_AGE_MS = 2_500;

    private final Clock clock;
    private long lastAnswerAtMs = Long.MIN_VALUE / 2;
    private boolean failing;
    private double smoothedLatencyMs = 20;

    /**
     * Creates a tracker without any recorded answer; until the first one the store counts as not answering.
     *
     * @param clock the clock by which the age of the last answer is measured
     */
    public StoreHealth(Clock clock) {
        this.clock = clock;
    }

    /** Records an answer without its latency, such as that of a long poll. */
    public void recordAnswer() {
        lastAnswerAtMs = clock.nowMs();
        failing = false;
    }

    /**
     * Records an answer to a call that the store does not hold open, with its latency.
     *
     * @param latencyMs the time from the call to the answer, in ms
     */
    public void recordAnswer(long latencyMs) {
        recordAnswer();
        smoothedLatencyMs += (latencyMs - smoothedLatencyMs) / 8;
    }

    /** Records a call without an answer. */
    public void recordFailure() {
        failing = true;
    }

    /**
     * Returns whether the most recent call was answered and that answer is recent.
     *
     * @return false when calls should be relayed through a peer
     */
    public boolean isAnswering() {
        return !failing && clock.nowMs() - lastAnswerAtMs < MAX_ANSWER_AGE_MS;
    }

    /**
     * Returns the exponentially weighted moving average of the store's latency.
     *
     * @return the average in ms
     */
    public int smoothedLatencyMs() {
        return (int) smoothedLatencyMs;
    }
}
