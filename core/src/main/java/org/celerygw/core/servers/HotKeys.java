package org.celerygw.core.servers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * The shares of the most frequent keys of a stream of requests, by the space-saving algorithm with counts that are halved
 * from time to time. Not thread-safe.
 */
final class HotKeys {
    private static final int MAX_KEYS = 64;
    private static final long HALVING_INTERVAL_MS = 4_000;
    private static final double MIN_TOTAL = 50;

    private final Map<String, Counter> counters = new HashMap<>();
    private double total;
    private long halvedAtMs = Long.MIN_VALUE;

    private static final class Counter {
        double count;
        /** How much of the count may belong to keys that this one has replaced. */
        double error;
    }

    void add(String key, long nowMs) {
        if (halvedAtMs == Long.MIN_VALUE) {
            halvedAtMs = nowMs;
        } else if (nowMs - halvedAtMs >= HALVING_INTERVAL_MS) {
            halve(nowMs);
        }
        total++;
        Counter counter = counters.get(key);
        if (counter == null) {
            counter = new Counter();
            if (counters.size() >= MAX_KEYS) {
                Map.Entry<String, Counter> least = counters.entrySet().stream()
                        .min(Comparator.comparingDouble(entry -> entry.getValue().count))
                        .orElseThrow();
                counters.remove(least.getKey());
                counter.count = least.getValue().count;
                counter.error = least.getValue().count;
            }
            counters.put(key, counter);
        }
        counter.count++;
    }

    private void halve(long nowMs) {
        halvedAtMs = nowMs;
        total /= 2;
        counters.values().forEach(counter -> {
            counter.count /= 2;
            counter.error /= 2;
        });
        counters.values().removeIf(counter -> counter.count < 1);
    }

    /** Returns the share of a key in all requests; 0 if it is not frequent for certain or there were few requests. */
    double share(String key) {
        Counter counter = counters.get(key);
        return counter == null || total < MIN_TOTAL ? 0 : Math.max(0, counter.count - counter.error) / total;
    }
}
