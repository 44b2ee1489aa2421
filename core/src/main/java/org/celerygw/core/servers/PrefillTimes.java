package org.celerygw.core.servers;

/**
 * Learns how long engines take to compute a token of a prompt: the slope of the time to the first event over the tokens
 * that the engine probably does not hold, by weighted least squares. Not thread-safe.
 */
public final class PrefillTimes {
    private static final double SMOOTHING_FACTOR = 0.01;
    private static final int MIN_SAMPLES = 20;
    /** Below this standard deviation of the prompts' lengths, in tokens, the slope is mostly an error. */
    private static final double MIN_DEVIATION_TOKENS = 50;

    private int samples;
    private double meanTokens;
    private double meanMs;
    private double tokensVariance;
    private double covariance;

    /**
     * Records the first event of a response.
     *
     * @param missingTokens the tokens of the prompt that the engine probably did not hold
     * @param firstEventMs the time to the first event at an engine of mean speed, in ms
     */
    public void record(long missingTokens, double firstEventMs) {
        samples = Math.min(samples + 1, Integer.MAX_VALUE - 1);
        double factor = Math.max(SMOOTHING_FACTOR, 1.0 / samples);
        double tokensDifference = missingTokens - meanTokens;
        double msDifference = firstEventMs - meanMs;
        meanTokens += factor * tokensDifference;
        meanMs += factor * msDifference;
        tokensVariance = (1 - factor) * (tokensVariance + factor * tokensDifference * tokensDifference);
        covariance = (1 - factor) * (covariance + factor * tokensDifference * msDifference);
    }

    /**
     * Returns the time for a token of a prompt.
     *
     * @return the time, in ms; 0 if no dependence on the length has been observed
     */
    public double msPerToken() {
        return samples < MIN_SAMPLES || tokensVariance < MIN_DEVIATION_TOKENS * MIN_DEVIATION_TOKENS
                ? 0
                : Math.max(0, covariance / tokensVariance);
    }
}
