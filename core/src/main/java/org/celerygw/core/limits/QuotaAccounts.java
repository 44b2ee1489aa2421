package org.celerygw.core.limits;

import java.util.Map;
import java.util.function.Predicate;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.helper.LruMap;
import org.celerygw.core.routes.RateLimit;

/** The accounts of quotas that one host keeps for all hosts. Not thread-safe. */
final class QuotaAccounts {
    private static final long NOTICE_INTERVAL_MS = 2_000;
    private static final int ANNOUNCED_HOSTS = 2;
    /** Until this long after a host was lost or started, another one may have kept an account. */
    private static final long SETTLE_MS = 10_000;

    private final String host;
    private final QuotaBounds bounds;
    private final KeeperOrder order;
    private final ReachEstimate reach;
    private final CustomerQuotas.Network network;
    private final Map<String, QuotaAccount> byCustomer;
    private long constrainedMs = Long.MIN_VALUE / 2;

    QuotaAccounts(
            String host,
            QuotaBounds bounds,
            KeeperOrder order,
            ReachEstimate reach,
            CustomerQuotas.Network network,
            int maxAccounts) {
        this.host = host;
        this.bounds = bounds;
        this.order = order;
        this.reach = reach;
        this.network = network;
        this.byCustomer = new LruMap<>(maxAccounts);
    }

    int size() {
        return byCustomer.size();
    }

    /** Returns when an account was near its limit for the last time, in ms. */
    long constrainedMs() {
        return constrainedMs;
    }

    void remove(String customer) {
        byCustomer.remove(customer);
    }

    void removeIf(Predicate<String> customers) {
        byCustomer.keySet().removeIf(customers);
    }

    /** Continues after a time in which this host did not run, and other hosts may have kept the accounts. */
    void resume(long nowMs) {
        byCustomer.forEach((customer, account) -> {
            account.skip(nowMs);
            announceTo(customer);
        });
    }

    /** Returns the account of a customer, opened if there is none, with the newest limit that is known. */
    QuotaAccount open(String customer, RateLimit limit, long configVersion, long nowMs) {
        QuotaAccount account = byCustomer.get(customer);
        if (account == null) {
            account = new QuotaAccount(bounds, limit, configVersion, order.changedMs() + SETTLE_MS, nowMs);
            byCustomer.put(customer, account);
            announceTo(customer);
        }
        account.configure(limit, configVersion);
        return account;
    }

    /** Another host may have kept the account so far, since this one is new to it. */
    private void announceTo(String customer) {
        order.candidates(customer)
                .filter(candidate -> !candidate.equals(host))
                .limit(ANNOUNCED_HOSTS)
                .forEach(network::announce);
    }

    /** Books used and returned tokens and grants as many of the wanted ones as there are; none are needed far from the limit. */
    QuotaReply.Builder serve(
            String customer, QuotaAccount account, double used, double returned, double wanted, long nowMs) {
        refill(account, nowMs);
        account.giveBack(returned);
        account.use(used);
        boolean constrained = account.isConstrained(bounds, nowMs);
        QuotaReply.Builder reply = QuotaReply.newBuilder()
                .setKeepsAccount(true)
                .setConstrained(constrained)
                .setAccountAgeMs(account.ageMs(nowMs));
        if (constrained) {
            constrainedMs = nowMs;
            double granted = account.grant(wanted);
            reply.setGrantedTokens(granted).setValidityMs((int) CustomerQuotas.VALIDITY_MS);
            if (granted < wanted) {
                reply.setRetryAfterMs((int) account.retryAfterMs(bounds.windowMs()));
            }
            sendNotices(customer, account, nowMs);
        }
        return reply;
    }

    private void sendNotices(String customer, QuotaAccount account, long nowMs) {
        if (account.takeNotice(NOTICE_INTERVAL_MS, nowMs)) {
            QuotaReply notice = QuotaReply.newBuilder()
                    .setCustomer(customer)
                    .setKeepsAccount(true)
                    .setConstrained(true)
                    .setValidityMs((int) CustomerQuotas.CONSTRAINED_MS)
                    .build();
            order.answering().forEach(other -> network.sendNotice(other, notice));
        }
    }

    void refill(QuotaAccount account, long nowMs) {
        account.refill(grantedShare(nowMs), nowMs);
    }

    /**
     * Returns the share of each limit that accounts here may grant: that of the hosts which this one reaches, since the
     * others may keep accounts, too. Where most are reached, a few that are not stay within half of the overage.
     */
    private double grantedShare(long nowMs) {
        double others = order.remembered(nowMs).size();
        double answering = Math.min(1, order.answering().size() / Math.max(1, others));
        double reached = (1 + Math.min(answering, reach.share()) * others) / (1 + others);
        return Math.min(1, reached + (reached > 0.5 ? bounds.overage() / 2 : 0));
    }
}
