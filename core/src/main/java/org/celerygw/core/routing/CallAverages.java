package org.celerygw.core.routing;

/** Exponential moving averages over all calls of this host. */
final class CallAverages {
    private static final double SMOOTHING_FACTOR = 0.02;

    private double callMs = 5_000;
    private double outputTokens = 250;
    private double decodeMsPerToken = 25;

    void recordCall(double callMs, int outputTokens) {
        this.callMs += SMOOTHING_FACTOR * (callMs - this.callMs);
        this.outputTokens += SMOOTHING_FACTOR * (outputTokens - this.outputTokens);
    }

    void recordDecodeSample(double decodeMsPerToken) {
        this.decodeMsPerToken += SMOOTHING_FACTOR * (decodeMsPerToken - this.decodeMsPerToken);
    }

    double callMs() {
        return callMs;
    }

    double outputTokens() {
        return outputTokens;
    }

    double decodeMsPerToken() {
        return decodeMsPerToken;
    }
}
