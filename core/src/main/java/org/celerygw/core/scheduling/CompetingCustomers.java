package org.celerygw.core.scheduling;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.celerygw.core.helper.LruMap;
import org.celerygw.core.id.CustomerId;

/**
 * The work that customers received lately from the engines of a group of hosts: this host's exactly, that of the others as
 * their digests tell. Customers have equal weights. The requests of one that has received more than its share have a higher
 * level and start after those of all lower levels; a level spans a factor of two, within which the queue's other criteria
 * decide. Requests without a customer are those of one more customer. Not thread-safe.
 */
final class CompetingCustomers {
    /** Work counts less with time, so that bursts of some seconds count fully and a past one is soon forgotten. */
    static final double DECAY_MS = 4_000;

    static final int LEVELS = 8;

    private static final int NO_CUSTOMER = 0;
    private static final int MAX_REPORTED = 16;
    private static final int MAX_PEERS = 32;
    private static final long REPORT_INTERVAL_MS = 250;
    private static final long TOTALS_VALIDITY_MS = 50;
    /** Less work than this says nothing about a customer's demand. */
    private static final double MIN_SHARE_MS = 1_000;
    /** Customers within this factor of the mean compete alike, since their demand varies by about as much. */
    private static final double SHARE_TOLERANCE = 3;

    private final FairShares<Integer> own = FairShares.decaying(DECAY_MS);
    private final FairShares<Integer> group = FairShares.decaying(DECAY_MS);
    private final Map<String, FairShares<Integer>> byPeer = new LruMap<>(MAX_PEERS);
    private long totalsAtMs = Long.MIN_VALUE / 2;
    private long reportedAtMs = Long.MIN_VALUE / 2;
    private int count;
    private double meanMs;

    /** Returns the hash under which hosts tell a customer's work. */
    static int key(Optional<CustomerId> customer) {
        return customer.map(id -> Hashing.murmur3_32_fixed()
                        .hashString(id.value(), StandardCharsets.UTF_8)
                        .asInt())
                .orElse(NO_CUSTOMER);
    }

    /** Counts work that this host has started. */
    void started(int customer, double workMs, long nowMs) {
        own.charge(customer, workMs, nowMs);
        group.charge(customer, workMs, nowMs);
    }

    /** Counts what a peer has started in addition to what it reported before; a lost digest is made up for by the next. */
    void startedElsewhere(String peer, Map<Integer, Double> workMs, long nowMs) {
        FairShares<Integer> reported = byPeer.computeIfAbsent(peer, name -> FairShares.decaying(DECAY_MS));
        workMs.forEach((customer, customerWorkMs) -> {
            double addedMs = customerWorkMs - reported.leadMs(customer, nowMs);
            if (addedMs > 0) {
                reported.charge(customer, addedMs, nowMs);
                group.charge(customer, addedMs, nowMs);
            }
        });
    }

    /** Returns whether more than one customer has received work lately. */
    boolean compete(long nowMs) {
        refreshTotals(nowMs);
        return count > 1;
    }

    /** Returns how many customers have received work lately, at least 1. */
    int count(long nowMs) {
        refreshTotals(nowMs);
        return Math.max(1, count);
    }

    private void refreshTotals(long nowMs) {
        if (nowMs - totalsAtMs >= TOTALS_VALIDITY_MS) {
            totalsAtMs = nowMs;
            Map<Integer, Double> leadsMs = group.leadsMs(nowMs);
            count = leadsMs.size();
            meanMs = leadsMs.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .average()
                    .orElse(0);
        }
    }

    /**
     * Returns the level of a customer's request: 0 up to its share, and one more for each factor of two above it.
     *
     * @param aheadMs the work of the customer's requests that start before this one
     */
    int level(int customer, double aheadMs, long nowMs) {
        refreshTotals(nowMs);
        double shareMs = SHARE_TOLERANCE * Math.max(MIN_SHARE_MS, meanMs);
        double ratio = (group.leadMs(customer, nowMs) + aheadMs) / shareMs;
        return ratio < 1 ? 0 : Math.min(LEVELS - 1, 1 + Math.getExponent(ratio));
    }

    /** Returns how many slots the customer's requests have occupied through this host lately, on average. */
    double slots(int customer, long nowMs) {
        return own.leadMs(customer, nowMs) / DECAY_MS;
    }

    /** Returns the work of the {@value #MAX_REPORTED} customers with most of it at this host; empty if reported just before. */
    Map<Integer, Double> workToReport(long nowMs) {
        if (!compete(nowMs) || nowMs - reportedAtMs < REPORT_INTERVAL_MS) {
            return Map.of();
        }
        reportedAtMs = nowMs;
        Map<Integer, Double> reported = new LinkedHashMap<>();
        List<Map.Entry<Integer, Double>> most = own.leadsMs(nowMs).entrySet().stream()
                .sorted(Map.Entry.<Integer, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_REPORTED)
                .toList();
        most.forEach(entry -> reported.put(entry.getKey(), entry.getValue()));
        return reported;
    }
}
