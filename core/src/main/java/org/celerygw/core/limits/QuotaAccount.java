package org.celerygw.core.limits;

import org.celerygw.core.routes.RateLimit;

/**
 * The account of one customer's quota: a token bucket that hosts may overdraw by what they report late, so that a debt is
 * paid back before more is granted. Not thread-safe.
 */
final class QuotaAccount {
    private static final double MS_PER_SECOND = 1_000;
    /** The share of the burst below which hosts need granted tokens. */
    private static final double CONSTRAINED_SHARE = 0.5;
    /**
     * The part of the permitted excess that a new account starts with, and that may be owed before hosts need granted
     * tokens. Without it, a customer below its rate would be refused after a takeover, or if its burst is small.
     */
    private static final double OWED_SHARE = 0.25;

    private final long openedMs;
    private RateLimit limit;
    private long configVersion;
    private double share = 1;
    private double tokens;
    private double returnable;
    private double promised;
    private long refilledMs;
    private long noticedMs = Long.MIN_VALUE / 2;

    /**
     * Opens an account. It starts with a part of the permitted excess and is refilled for the time since
     * {@code refillsSinceMs}.
     *
     * @param bounds how closely the quota is kept
     * @param limit the customer's limit
     * @param configVersion the version of the configuration that holds the limit
     * @param refillsSinceMs the time since which no other host has kept the account, at most nowMs
     * @param nowMs the current time, in ms
     */
    QuotaAccount(QuotaBounds bounds, RateLimit limit, long configVersion, long refillsSinceMs, long nowMs) {
        this.limit = limit;
        this.configVersion = configVersion;
        this.refilledMs = Math.min(refillsSinceMs, nowMs);
        this.openedMs = nowMs;
        this.tokens = Math.min(capacity(), OWED_SHARE * bounds.excess(limit));
    }

    /** Adds the tokens of the time passed, for the share of the limit that this account may grant. */
    void refill(double grantedShare, long nowMs) {
        double added = Math.max(0, nowMs - refilledMs) * limit.perS() * share / MS_PER_SECOND;
        share = grantedShare;
        tokens = Math.min(capacity(), tokens + added);
        promised = Math.max(0, promised - added);
        refilledMs = nowMs;
    }

    /** Adds nothing for the time since the last refill, in which another host may have kept the account. */
    void skip(long nowMs) {
        refilledMs = nowMs;
    }

    /** Applies a limit unless a newer configuration is known. */
    void configure(RateLimit newLimit, long version) {
        if (version > configVersion) {
            configVersion = version;
            limit = newLimit;
            tokens = Math.min(tokens, capacity());
        }
    }

    /** Takes tokens for requests that were sent already. */
    void use(double used) {
        tokens -= used;
        countReturnable(used);
    }

    /** Takes back tokens of requests that did not run, at most as many as were taken lately. */
    void giveBack(double returned) {
        double accepted = Math.min(returned, returnable);
        returnable -= accepted;
        tokens = Math.min(capacity(), tokens + accepted);
    }

    /** Grants up to a number of whole tokens. */
    double grant(double wanted) {
        double granted = Math.max(0, Math.min(wanted, Math.floor(tokens)));
        tokens -= granted;
        countReturnable(granted);
        return granted;
    }

    /** Returns when a refused request may come back, in ms, after those that were refused before. */
    long retryAfterMs(long maxMs) {
        double perMs = limit.perS() * share / MS_PER_SECOND;
        long retryMs = (long) Math.ceil((Math.max(0, 1 - tokens) + promised) / perMs);
        promised = Math.min(promised + 1, maxMs * perMs);
        return Math.max(1, retryMs);
    }

    /**
     * Returns whether hosts need granted tokens before they send. A new account has no burst yet, and hosts may still send
     * at its rate.
     */
    boolean isConstrained(QuotaBounds bounds, long nowMs) {
        double refilled = ageMs(nowMs) * limit.perS() / MS_PER_SECOND;
        double low = Math.min(CONSTRAINED_SHARE * limit.burst(), refilled) - OWED_SHARE * bounds.excess(limit);
        return tokens < low * share;
    }

    /** Returns whether to notify the hosts now that the account is constrained. */
    boolean takeNotice(long intervalMs, long nowMs) {
        boolean due = nowMs - noticedMs >= intervalMs;
        noticedMs = due ? nowMs : noticedMs;
        return due;
    }

    long ageMs(long nowMs) {
        return nowMs - openedMs;
    }

    private double capacity() {
        return Math.max(1, limit.burst() * share);
    }

    private void countReturnable(double taken) {
        returnable = Math.min(returnable + taken, limit.perS() + limit.burst() + 1);
    }
}
