package org.celerygw.core.servers;

/** What a warm cache saves on one route: the difference of the mean service times of cold and warm requests. */
final class CacheSaving {
    private static final double HALF_LIFE_MS = 60_000;
    private static final double MIN_WEIGHT = 4;
    private static final double CONFIDENCE_DEVIATIONS = 2;
    private static final double MIN_SHARE_OF_COLD = 0.1;

    private final Mean warm = new Mean();
    private final Mean cold = new Mean();

    private static final class Mean {
        double ms;
        double variance;
        double weight;
        long atMs;

        void add(double sampleMs, long nowMs) {
            weight = weight(nowMs) + 1;
            atMs = nowMs;
            double difference = sampleMs - ms;
            ms += difference / weight;
            variance += (difference * (sampleMs - ms) - variance) / weight;
        }

        double weight(long nowMs) {
            return weight * Math.pow(0.5, Math.max(0L, nowMs - atMs) / HALF_LIFE_MS);
        }
    }

    void addWarm(double ms, long nowMs) {
        warm.add(ms, nowMs);
    }

    void addCold(double ms, long nowMs) {
        cold.add(ms, nowMs);
    }

    double warmMs() {
        return warm.ms;
    }

    double coldMs() {
        return cold.ms;
    }

    /** Returns the time that a warm cache saves, in ms; 0 unless the samples show it for certain. */
    double savedMs(long nowMs) {
        double warmWeight = warm.weight(nowMs);
        double coldWeight = cold.weight(nowMs);
        if (warmWeight < MIN_WEIGHT || coldWeight < MIN_WEIGHT) {
            return 0;
        }
        double saved = cold.ms - warm.ms;
        double deviation = Math.sqrt(warm.variance / warmWeight + cold.variance / coldWeight);
        return saved > Math.max(CONFIDENCE_DEVIATIONS * deviation, MIN_SHARE_OF_COLD * cold.ms) ? saved : 0;
    }
}
