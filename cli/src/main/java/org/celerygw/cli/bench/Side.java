package org.celerygw.cli.bench;

import org.HdrHistogram.Histogram;

/** The latencies of one way of sending, in microseconds. */
final class Side {
    private static final long MAX_MICROS = 600_000_000L;
    private static final int DIGITS = 3;

    private final Histogram firstByte = new Histogram(MAX_MICROS, DIGITS);
    private final Histogram whole = new Histogram(MAX_MICROS, DIGITS);
    private long failures;
    private String lastFailure = "";

    void add(Timing timing) {
        if (!timing.ok()) {
            failures++;
            lastFailure = timing.failure();
            return;
        }
        firstByte.recordValue(Math.min(MAX_MICROS, timing.firstByteMicros()));
        whole.recordValue(Math.min(MAX_MICROS, timing.wholeMicros()));
    }

    void add(Side other) {
        firstByte.add(other.firstByte);
        whole.add(other.whole);
        failures += other.failures;
        lastFailure = other.lastFailure.isEmpty() ? lastFailure : other.lastFailure;
    }

    long count() {
        return whole.getTotalCount();
    }

    long failures() {
        return failures;
    }

    String lastFailure() {
        return lastFailure;
    }

    double firstByteMs(double percentile) {
        return firstByte.getValueAtPercentile(percentile) / 1000.0;
    }

    double wholeMs(double percentile) {
        return whole.getValueAtPercentile(percentile) / 1000.0;
    }
}
