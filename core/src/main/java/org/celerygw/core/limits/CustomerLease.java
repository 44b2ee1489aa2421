package org.celerygw.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.celerygw.core.routes.RateLimit;

/** What one host holds of a customer's quota, and what it has not reported yet. Not thread-safe. */
final class CustomerLease {
    private static final double MS_PER_SECOND = 1_000;
    private static final double DEMAND_MEMORY_MS = 500;

    /** Requests that wait for the account's decision, oldest first. */
    final Deque<Waiting> waiting = new ArrayDeque<>();
    /** Hosts that said lately that they don't keep the account. */
    final Set<String> notKeepers = new HashSet<>();

    RateLimit limit = RateLimit.NONE;
    long configVersion;
    double usedTokens;
    double returnedTokens;
    double unacknowledgedTokens;
    boolean asking;
    boolean flushScheduled;
    long askedMs = Long.MIN_VALUE / 2;
    /** Requests in a row to which no host answered that keeps the account. */
    int lostRequests;

    boolean acknowledged;
    long constrainedUntilMs;
    long refusedUntilMs;
    long retryAtMs;
    long accountAgeMs;
    String decidedBy = "";
    /** Whether the host uses its share, since it reaches no account. */
    boolean sharing;

    private double heldTokens;
    private long heldUntilMs;
    private double demand;
    private long demandMs;
    private double shareTokens;
    private long shareMs;

    /** A waiting request and the time since which it waits, in ms. */
    record Waiting(Consumer<CustomerQuotas.Decision> callback, long sinceMs) {}

    /** Counts a request for the estimate of the demand. */
    void countDemand(long nowMs) {
        demand = demand * Math.exp(-(nowMs - demandMs) / DEMAND_MEMORY_MS) + 1;
        demandMs = nowMs;
    }

    /** Returns how many requests are expected within a time. */
    double expectedRequests(long durationMs) {
        return demand * durationMs / DEMAND_MEMORY_MS;
    }

    /** Returns the granted tokens that are still valid. */
    double heldTokens(long nowMs) {
        if (nowMs >= heldUntilMs) {
            returnedTokens += heldTokens;
            heldTokens = 0;
        }
        return heldTokens;
    }

    boolean takeHeld(long nowMs) {
        boolean taken = heldTokens(nowMs) >= 1;
        heldTokens -= taken ? 1 : 0;
        return taken;
    }

    void hold(double tokens, long untilMs, long nowMs) {
        double before = heldTokens(nowMs);
        heldTokens = before + tokens;
        // Tokens of an earlier grant must not live longer because of a later one.
        heldUntilMs = before > 0 ? Math.min(heldUntilMs, untilMs) : untilMs;
    }

    /** Drops the granted tokens; they are not returned, since another host may keep the account by now. */
    void dropHeld() {
        heldTokens = 0;
    }

    /** Begins to save tokens for a host that reaches no account; the phase differs between hosts. */
    void beginShare(double phase, long fromMs) {
        sharing = true;
        shareTokens = -phase;
        shareMs = fromMs;
    }

    /** Takes one of the tokens of a host that reaches no account, without any burst. */
    boolean takeShare(double perS, long nowMs) {
        shareTokens = Math.min(1, shareTokens + Math.max(0, nowMs - shareMs) * perS / MS_PER_SECOND);
        shareMs = Math.max(shareMs, nowMs);
        boolean taken = shareTokens >= 1;
        shareTokens -= taken ? 1 : 0;
        return taken;
    }

    /** Returns the time until the next token of the share, in ms. */
    long shareWaitMs(double perS, long nowMs) {
        return Math.max(1, (long) Math.ceil((1 - shareTokens) * MS_PER_SECOND / perS) + Math.max(0, shareMs - nowMs));
    }

    /** Applies the limit of the newest configuration; a lower one ends the tokens granted under the one before. */
    void configure(RateLimit newLimit, long version) {
        if (version >= configVersion && !newLimit.equals(limit)) {
            returnedTokens += heldTokens;
            heldTokens = 0;
            limit = newLimit;
        }
        configVersion = Math.max(version, configVersion);
    }
}
