package org.celerygw.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.core.id.CustomerId;
import org.jspecify.annotations.Nullable;

/**
 * Each customer's share. Start-time fair queueing: a customer's virtual time runs ahead of the clock by the work
 * that it was given above its share, and its calls are ordered by that time.
 */
final class Customers {
    private static final double USUAL_SHARE = 1;
    private static final long MAX_AHEAD_MS = 30_000;
    private static final double LIMIT_SLACK = 1.5;
    /** A customer with this part of all active shares has nobody to yield to. */
    private static final double ALONE = 0.999;

    private final Map<CustomerId, Account> accounts = new HashMap<>();
    private final int fleetHosts;
    private double activeShares;

    Customers(int fleetHosts) {
        this.fleetHosts = fleetHosts;
    }

    private static final class Account {
        double share = USUAL_SHARE;
        int maxCalls;
        int calls;
        double virtualMs;
    }

    void configure(List<CustomerShare> shares) {
        accounts.values().forEach(a -> {
            a.share = USUAL_SHARE;
            a.maxCalls = 0;
        });
        shares.forEach(s -> {
            Account account = account(s.customer());
            account.share = s.share();
            account.maxCalls = s.maxCalls();
        });
        activeShares = accounts.values().stream()
                .filter(a -> a.calls > 0)
                .mapToDouble(a -> a.share)
                .sum();
    }

    private Account account(CustomerId customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }

    /** Returns whether the customer may have one more call at this host. */
    boolean mayEnter(CustomerId customer) {
        @Nullable Account account = accounts.get(customer);
        if (account == null || account.maxCalls == 0) {
            return true;
        }
        // Programs spread evenly over hosts, so each host enforces its part with some slack and no agreement.
        double here = fleetHosts == 1 ? account.maxCalls : account.maxCalls * LIMIT_SLACK / fleetHosts;
        return account.calls < Math.max(1, Math.ceil(here));
    }

    /**
     * Takes a call in and returns how far the customer is ahead of its share.
     *
     * @param workMs the time that the call will take on one of the host's slots
     * @param slots the calls that this host can run at once
     */
    long enter(CustomerId customer, double workMs, double slots, long nowMs) {
        Account account = account(customer);
        if (account.calls == 0) {
            activeShares += account.share;
        }
        account.calls++;
        account.virtualMs = Math.max(account.virtualMs, (double) nowMs);
        long aheadMs = (long) Math.min((double) MAX_AHEAD_MS, account.virtualMs - nowMs);
        double fraction = account.share / Math.max(activeShares, account.share);
        if (fraction >= ALONE) {
            return 0;
        }
        double nextMs = account.virtualMs + workMs / Math.max(1, fraction * slots);
        account.virtualMs = Math.min(nextMs, (double) nowMs + MAX_AHEAD_MS);
        return aheadMs;
    }

    void leave(CustomerId customer) {
        Account account = account(customer);
        account.calls--;
        if (account.calls == 0) {
            activeShares -= account.share;
        }
    }
}
