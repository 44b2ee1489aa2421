package org.celerygw.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.scheduling.FairShares;
import org.jspecify.annotations.Nullable;

/**
 * The configured shares and limits of customers. The lead of a customer over its share orders its calls, as
 * {@link FairShares} describes.
 */
final class FairShareAccounts {
    private static final double DEFAULT_SHARE = 1;
    private static final long MAX_LEAD_MS = 30_000;
    private static final double HOST_LIMIT_SLACK = 1.5;
    /** From this fraction of all active shares on, a customer competes with no other and is not delayed. */
    private static final double SOLE_CUSTOMER_FRACTION = 0.999;

    private final Map<CustomerId, Account> accounts = new HashMap<>();
    private final int fleetHosts;
    private final FairShares<CustomerId> leads = FairShares.drainingWithTime(MAX_LEAD_MS);
    private double activeShareSum;

    FairShareAccounts(int fleetHosts) {
        this.fleetHosts = fleetHosts;
    }

    private static final class Account {
        double share = DEFAULT_SHARE;
        int maxCalls;
        int activeCalls;
    }

    void configure(List<CustomerQuota> quotas) {
        accounts.values().forEach(a -> {
            a.share = DEFAULT_SHARE;
            a.maxCalls = 0;
        });
        quotas.forEach(q -> {
            Account account = account(q.customer());
            account.share = q.share();
            account.maxCalls = q.maxCalls();
        });
        activeShareSum = accounts.values().stream()
                .filter(a -> a.activeCalls > 0)
                .mapToDouble(a -> a.share)
                .sum();
    }

    private Account account(CustomerId customer) {
        return accounts.computeIfAbsent(customer, c -> new Account());
    }

    /** Returns whether this host's part of the customer's limit admits one more call. */
    boolean isBelowLimit(CustomerId customer) {
        @Nullable Account account = accounts.get(customer);
        if (account == null || account.maxCalls == 0) {
            return true;
        }
        // Programs spread evenly over the hosts, so each host enforces its part of the limit, with some slack and
        // without coordination.
        double hostLimit = fleetHosts == 1 ? account.maxCalls : account.maxCalls * HOST_LIMIT_SLACK / fleetHosts;
        return account.activeCalls < Math.max(1, Math.ceil(hostLimit));
    }

    /**
     * Counts an admitted call and returns how far the customer is ahead of its share, in milliseconds.
     *
     * @param workMs the estimated time that the call occupies one of the host's slots
     * @param slots the number of calls that this host can run concurrently
     */
    long callAdmitted(CustomerId customer, double workMs, double slots, long nowMs) {
        Account account = account(customer);
        if (account.activeCalls == 0) {
            activeShareSum += account.share;
        }
        account.activeCalls++;
        long leadMs = (long) leads.leadMs(customer, nowMs);
        double fraction = account.share / Math.max(activeShareSum, account.share);
        if (fraction >= SOLE_CUSTOMER_FRACTION) {
            return 0;
        }
        leads.charge(customer, workMs / Math.max(1, fraction * slots), nowMs);
        return leadMs;
    }

    void callRemoved(CustomerId customer) {
        Account account = account(customer);
        account.activeCalls--;
        if (account.activeCalls == 0) {
            activeShareSum -= account.share;
        }
    }
}
