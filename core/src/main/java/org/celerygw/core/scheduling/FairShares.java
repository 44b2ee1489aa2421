package org.celerygw.core.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleBinaryOperator;

/**
 * Start-time fair queueing: how far each customer is ahead of its share by the work that it received. A customer's calls
 * are ordered by the lead that it has when they would start. Leads drain over time, so that work of long ago does not
 * count. Not thread-safe.
 *
 * <pre>{@code
 * FairShares<CustomerId> shares = FairShares.drainingWithTime(30_000);
 * double startTagMs = shares.leadMs(customer, nowMs);
 * shares.charge(customer, workMs, nowMs);
 * }</pre>
 *
 * @param <K> identifies a customer
 */
public final class FairShares<K> {
    private static final double NEGLIGIBLE_MS = 1;
    private static final int MIN_ACCOUNTS_TO_CLEAN = 64;

    private final Map<K, Account> accounts = new HashMap<>();
    private final DoubleBinaryOperator drain;
    private final double maxLeadMs;
    private int cleanAtSize = MIN_ACCOUNTS_TO_CLEAN;

    private record Account(double leadMs, long atMs) {}

    private FairShares(DoubleBinaryOperator drain, double maxLeadMs) {
        this.drain = drain;
        this.maxLeadMs = maxLeadMs;
    }

    /**
     * Creates shares whose leads drain by one ms in each ms; the cost of work is its duration on the customer's share.
     *
     * @param maxLeadMs the largest lead, in ms
     * @param <K> identifies a customer
     * @return the shares, with no lead
     */
    public static <K> FairShares<K> drainingWithTime(long maxLeadMs) {
        return new FairShares<>((leadMs, elapsedMs) -> Math.max(0, leadMs - elapsedMs), maxLeadMs);
    }

    /**
     * Creates shares whose leads decay exponentially, so that the sum of the leads at several hosts is the lead of all.
     *
     * @param decayMs the time in which a lead falls to 1/e, in ms
     * @param <K> identifies a customer
     * @return the shares, with no lead
     */
    public static <K> FairShares<K> decaying(double decayMs) {
        return new FairShares<>(
                (leadMs, elapsedMs) -> leadMs * Math.exp(-elapsedMs / decayMs), Double.POSITIVE_INFINITY);
    }

    /**
     * Returns how far a customer is ahead.
     *
     * @param customer the customer
     * @param nowMs the current time, in ms
     * @return its lead, in ms of work; 0 if it has received none lately
     */
    public double leadMs(K customer, long nowMs) {
        Account account = accounts.get(customer);
        return account == null ? 0 : leadMs(account, nowMs);
    }

    private double leadMs(Account account, long nowMs) {
        return drain.applyAsDouble(account.leadMs, Math.max(0, nowMs - account.atMs));
    }

    /**
     * Counts work that a customer receives.
     *
     * @param customer the customer
     * @param costMs the cost of the work, in ms; negative to take work back
     * @param nowMs the current time, in ms
     */
    public void charge(K customer, double costMs, long nowMs) {
        double leadMs = Math.min(maxLeadMs, Math.max(0, leadMs(customer, nowMs) + costMs));
        accounts.put(customer, new Account(leadMs, nowMs));
        if (accounts.size() >= cleanAtSize) {
            accounts.values().removeIf(account -> leadMs(account, nowMs) < NEGLIGIBLE_MS);
            cleanAtSize = Math.max(MIN_ACCOUNTS_TO_CLEAN, 2 * accounts.size());
        }
    }

    /**
     * Returns all leads.
     *
     * @param nowMs the current time, in ms
     * @return the leads in ms, of customers that have one
     */
    public Map<K, Double> leadsMs(long nowMs) {
        Map<K, Double> leads = new HashMap<>();
        accounts.forEach((customer, account) -> {
            double leadMs = leadMs(account, nowMs);
            if (leadMs >= NEGLIGIBLE_MS) {
                leads.put(customer, leadMs);
            }
        });
        return leads;
    }
}
