package org.celerygw.core.routing;

/** Running averages over all calls of this host. */
final class Usual {
    private static final double LEARN_RATE = 0.02;

    private double callMs = 5_000;
    private double outputTokens = 250;
    private double tokenMs = 25;

    void ended(double callMs, int outputTokens) {
        this.callMs += LEARN_RATE * (callMs - this.callMs);
        this.outputTokens += LEARN_RATE * (outputTokens - this.outputTokens);
    }

    void token(double tokenMs) {
        this.tokenMs += LEARN_RATE * (tokenMs - this.tokenMs);
    }

    double callMs() {
        return callMs;
    }

    double outputTokens() {
        return outputTokens;
    }

    double tokenMs() {
        return tokenMs;
    }
}
