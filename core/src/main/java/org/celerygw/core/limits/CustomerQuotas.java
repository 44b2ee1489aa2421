package org.celerygw.core.limits;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.helper.LruMap;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.RateLimit;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;

/**
 * Keeps the quotas of customers over all hosts together. For each customer, the host with the highest rendezvous weight
 * among those that answer keeps an account. While the account is far from its limit, hosts send requests at once and
 * report them afterwards. When it comes near, the account's host says so to all others, and a request then needs a token
 * that the account has granted. A host that reaches no account may use its share of the rate. Not thread-safe.
 */
public final class CustomerQuotas {
    /** How long granted tokens are valid, in ms, by the clock of the host that asked, from when it asked. */
    static final long VALIDITY_MS = 400;
    /** How long a request waits for the account's answer, in ms. */
    static final long WAIT_MS = 90;

    private static final long BATCH_MS = 25;
    private static final long PREFETCH_MS = 50;
    /** Shorter than the time-out of the host that asked, so that it learns which of the two hosts is silent. */
    private static final long FORWARD_TIMEOUT_MS = 40;

    private static final long ELSEWHERE_MS = 100;
    private static final int MAX_KEEPERS_ASKED = 3;
    /** Requests far below the limit go on while another host takes over the account, which costs one message. */
    private static final int MAX_LOST = 2;

    /** Longer than the time between two notices, so that one lost notice does not end the constraint. */
    static final long CONSTRAINED_MS = 5_000;

    private static final long REFUSED_MS = 100;
    private static final long TICK_MS = 200;
    private static final long ACTIVE_MS = 5_000;
    /** A host that ran nothing for this long may have been replaced as the account's host. */
    private static final long PAUSE_MS = 600;
    /** After such a pause, messages arrive that their senders have sent to another host meanwhile. */
    private static final long DRAIN_MS = 50;
    /** When a request may come back that was refused while another host takes over an account. */
    private static final long TAKEOVER_MS = 300;
    /** The time until the account's host has noticed that others do not reach it. */
    private static final long ISOLATION_MS = 3_000;

    private static final int PINGS_PER_TICK = 3;
    private static final int PINGS_AFTER_LOSS = 12;
    private static final long LOSS_INTERVAL_MS = 1_000;
    private static final int MAX_CUSTOMERS = 5_000;

    private final String host;
    private final Clock clock;
    private final Scheduler scheduler;
    private final QuotaBounds bounds;
    private final Network network;
    private final KeeperOrder order;
    private final ReachEstimate reach = new ReachEstimate();
    private final Map<String, CustomerLease> leases = new LruMap<>(MAX_CUSTOMERS);
    private final QuotaAccounts accounts;
    private final Map<String, Optional<String>> keepers = new LruMap<>(MAX_CUSTOMERS);
    /** Answers to messages that may arrive again. */
    private final Map<Long, QuotaReply> answered = new LruMap<>(MAX_CUSTOMERS);

    /** Ids of requests that were passed on to the account's host and are not answered yet. */
    private final Set<Long> forwarding = new HashSet<>();

    private final QuotaMessages messages;
    private long enteredMs;
    private long usedMs;
    private long keepersVersion;
    private long checkedVersion;
    private int nextPing;
    private int nextSilent;
    private long lossMs;
    private long resumedMs = Long.MIN_VALUE / 2;
    private boolean ticking;

    /** Reaches the other hosts. */
    public interface Network {
        /**
         * Returns the other hosts of the fleet, down or not, except those that are stopping.
         *
         * @return their names
         */
        Collection<String> hosts();

        /**
         * Returns whether this host knows the others and is not stopping.
         *
         * @return false if it must not keep accounts
         */
        boolean mayKeep();

        /**
         * Sends a request to another host; it or its reply may be lost.
         *
         * @param host the name of the other host
         * @param request the request
         */
        void send(String host, QuotaRequest request);

        /**
         * Sends a notice to another host; it may be lost.
         *
         * @param host the name of the other host
         * @param notice a reply without id that names the customer
         */
        void sendNotice(String host, QuotaReply notice);

        /**
         * Tells another host that this one is alive; the message may be lost.
         *
         * @param host the name of the other host
         */
        void announce(String host);
    }

    /**
     * The decision on one request.
     *
     * @param granted whether the request may be sent
     * @param retryAfterMs when a refused request may come back, in ms
     * @param accountAgeMs the age of the account that decided, in ms; 0 if no account did
     * @param decidedBy the name of the host that decided
     */
    public record Decision(boolean granted, long retryAfterMs, long accountAgeMs, String decidedBy) {
        private static final Decision GRANTED = new Decision(true, 0, 0, "");
    }

    /**
     * Creates the quotas of a host that has just started.
     *
     * @param host this host's name
     * @param clock the time source
     * @param scheduler runs timeouts
     * @param bounds how closely quotas are kept
     * @param network reaches the other hosts
     */
    public CustomerQuotas(String host, Clock clock, Scheduler scheduler, QuotaBounds bounds, Network network) {
        this.host = host;
        this.clock = clock;
        this.scheduler = scheduler;
        this.bounds = bounds;
        this.network = network;
        this.order = new KeeperOrder(host, network::hosts, clock.nowMs());
        this.accounts = new QuotaAccounts(host, bounds, order, reach, network, MAX_CUSTOMERS);
        this.enteredMs = clock.nowMs();
        long firstId = KeeperOrder.weight(Long.toString(clock.nowMs()), host);
        this.messages = new QuotaMessages(firstId, this::enter, scheduler, network::send, this::onSilent);
    }

    /**
     * Decides whether a request may be sent. The callback runs during this call unless the customer is near its limit, and
     * otherwise at most {@value #WAIT_MS} ms later.
     *
     * @param customer the customer
     * @param configVersion the version of the configuration that holds its limit
     * @param callback called once with the decision
     */
    public void acquire(Customer customer, long configVersion, Consumer<Decision> callback) {
        if (!customer.limit().isLimited()) {
            callback.accept(Decision.GRANTED);
            return;
        }
        long nowMs = enter();
        recordUse(nowMs);
        String name = customer.id().value();
        CustomerLease lease = leases.computeIfAbsent(name, n -> new CustomerLease());
        lease.configure(customer.limit(), configVersion);
        lease.countDemand(nowMs);
        Optional<String> keeper = keeper(name, lease);
        if (keeper.equals(Optional.of(host))) {
            callback.accept(decideHere(name, lease, nowMs));
        } else if (lease.takeHeld(nowMs)) {
            callback.accept(Decision.GRANTED);
            prefetch(name, lease, nowMs);
        } else if (nowMs >= lease.constrainedUntilMs && maySendUnreported(name, lease, keeper)) {
            lease.usedTokens++;
            lease.unacknowledgedTokens++;
            callback.accept(Decision.GRANTED);
            flush(name, lease);
        } else if (nowMs < lease.refusedUntilMs) {
            callback.accept(refusal(lease, nowMs));
        } else if (keeper.isEmpty() && lease.notKeepers.isEmpty() && order.knowsHosts()) {
            callback.accept(decideByShare(name, lease, nowMs));
        } else {
            await(name, lease, callback, nowMs);
        }
    }

    /**
     * Takes back the token of a request that no server has run.
     *
     * @param customer the customer
     */
    public void release(CustomerId customer) {
        String name = customer.value();
        CustomerLease lease = leases.get(name);
        if (lease == null) {
            return;
        }
        recordUse(enter());
        lease.returnedTokens++;
        flush(name, lease);
    }

    /**
     * Answers a request of another host.
     *
     * @param request the request
     * @param callback called with the reply, now or when the account's host has answered
     */
    public void answer(QuotaRequest request, Consumer<QuotaReply> callback) {
        long nowMs = enter();
        String customer = request.getCustomer();
        if (!customer.isEmpty()) {
            recordUse(nowMs);
        }
        QuotaReply elsewhere = QuotaReply.newBuilder().setId(request.getId()).build();
        QuotaReply cachedReply = answered.get(request.getId());
        if (cachedReply != null) {
            callback.accept(cachedReply);
            return;
        }
        if (forwarding.contains(request.getId())) {
            // A repetition: the reply to the first message follows.
            return;
        }
        boolean usable = !customer.isEmpty() && isValid(request) && nowMs >= resumedMs + DRAIN_MS;
        Optional<String> keeper = usable ? firstKeeper(customer) : Optional.empty();
        if (keeper.equals(Optional.of(host))) {
            QuotaAccount account = accounts.open(customer, limitOf(request), request.getConfigVersion(), nowMs);
            QuotaReply reply = accounts.serve(
                            customer,
                            account,
                            request.getUsedTokens(),
                            request.getReturnedTokens(),
                            request.getWantedTokens(),
                            nowMs)
                    .setId(request.getId())
                    .build();
            answered.put(request.getId(), reply);
            callback.accept(reply);
        } else if (keeper.isPresent() && !request.getForwarded()) {
            accounts.remove(customer);
            forward(keeper.get(), request, callback, elsewhere);
        } else {
            callback.accept(elsewhere);
        }
    }

    /**
     * Applies a reply or a notice of the host that keeps an account.
     *
     * @param reply the reply; ignored if it is too late or was not asked for
     */
    public void onReply(QuotaReply reply) {
        long nowMs = enter();
        if (!reply.getCustomer().isEmpty()) {
            leases.computeIfAbsent(reply.getCustomer(), n -> new CustomerLease()).constrainedUntilMs =
                    nowMs + Math.max(0, Math.min(CONSTRAINED_MS, reply.getValidityMs()));
            return;
        }
        messages.onReply(reply, alive -> order.onAlive(alive, nowMs));
    }

    /**
     * Records a sign of life of another host.
     *
     * @param name the host's name
     */
    public void onHostAlive(String name) {
        order.onAlive(name, clock.nowMs());
    }

    /**
     * Returns how many messages to other hosts were not answered.
     *
     * @return the number since the start
     */
    public long lostReplies() {
        return messages.lostReplies();
    }

    /**
     * Returns how many accounts this host keeps.
     *
     * @return the number of customers
     */
    public int accounts() {
        return accounts.size();
    }

    // The host that keeps the account

    private Decision decideHere(String customer, CustomerLease lease, long nowMs) {
        QuotaAccount account = accounts.open(customer, lease.limit, lease.configVersion, nowMs);
        accounts.refill(account, nowMs);
        // Before the decision, since returned tokens may end the constraint.
        account.giveBack(lease.returnedTokens);
        lease.returnedTokens = 0;
        boolean free = !account.isConstrained(bounds, nowMs);
        QuotaReply.Builder reply =
                accounts.serve(customer, account, lease.usedTokens + (free ? 1 : 0), 0, free ? 0 : 1, nowMs);
        lease.usedTokens = 0;
        return free || reply.getGrantedTokens() >= 1
                ? Decision.GRANTED
                : new Decision(false, reply.getRetryAfterMs(), reply.getAccountAgeMs(), host);
    }

    private void forward(String keeper, QuotaRequest request, Consumer<QuotaReply> callback, QuotaReply elsewhere) {
        long id = request.getId();
        forwarding.add(id);
        QuotaMessages.ReplyHandler handler = new QuotaMessages.ReplyHandler() {
            @Override
            public void onReply(QuotaReply reply) {
                forwarding.remove(id);
                QuotaReply forwarded = reply.toBuilder().setId(id).build();
                answered.put(id, forwarded);
                callback.accept(forwarded);
            }

            @Override
            public void onLost() {
                forwarding.remove(id);
                callback.accept(elsewhere);
            }
        };
        messages.send(keeper, request.toBuilder().setForwarded(true), FORWARD_TIMEOUT_MS, handler);
    }

    private static boolean isValid(QuotaRequest request) {
        return request.getLimitPerS() > 0
                && request.getBurst() >= 0
                && request.getBurst() < Double.POSITIVE_INFINITY
                && isCount(request.getUsedTokens())
                && isCount(request.getReturnedTokens())
                && isCount(request.getWantedTokens());
    }

    private static boolean isCount(double tokens) {
        return tokens >= 0 && tokens < Double.POSITIVE_INFINITY;
    }

    private static RateLimit limitOf(QuotaRequest request) {
        return new RateLimit(request.getLimitPerS(), request.getBurst());
    }

    // The host that sends requests

    private Decision refusal(CustomerLease lease, long nowMs) {
        return new Decision(false, Math.max(1, lease.retryAtMs - nowMs), lease.accountAgeMs, lease.decidedBy);
    }

    /** Returns whether a request may be sent before the account's host knows of it. */
    private boolean maySendUnreported(String customer, CustomerLease lease, Optional<String> keeper) {
        if (keeper.isEmpty()) {
            return false;
        }
        double excess = bounds.excess(lease.limit);
        boolean reached =
                lease.lostRequests < MAX_LOST && (lease.acknowledged || !order.hasSilentBefore(customer, keeper.get()));
        double mostTokens = reached ? Math.max(1, excess / 8) : Math.floor(excess / 2 / order.size());
        return lease.unacknowledgedTokens + 1 <= mostTokens;
    }

    private void await(String customer, CustomerLease lease, Consumer<Decision> callback, long nowMs) {
        lease.waiting.add(new CustomerLease.Waiting(callback, nowMs));
        scheduler.schedule(WAIT_MS, () -> decideOverdue(customer, lease));
        flush(customer, lease);
    }

    /** Decides the requests that have waited for too long: none of the hosts that may keep the account answers. */
    private void decideOverdue(String customer, CustomerLease lease) {
        long nowMs = enter();
        while (!lease.waiting.isEmpty() && nowMs - lease.waiting.peek().sinceMs() >= WAIT_MS) {
            lease.waiting.remove().callback().accept(decideByShare(customer, lease, nowMs));
        }
    }

    private Decision decideByShare(String customer, CustomerLease lease, long nowMs) {
        lease.acknowledged = false;
        double perS = lease.limit.perS() / order.size();
        if (!lease.sharing) {
            lease.beginShare(phase(customer), nowMs + ISOLATION_MS);
        }
        long retryMs = firstKeeper(customer).isPresent() ? TAKEOVER_MS : bounds.windowMs();
        return lease.takeShare(perS, nowMs)
                ? Decision.GRANTED
                : new Decision(false, Math.min(retryMs, lease.shareWaitMs(perS, nowMs)), 0, host);
    }

    /** Returns a number in [0, 1) that differs between hosts. */
    private double phase(String customer) {
        return Math.floorMod(KeeperOrder.weight(customer, host), 10_007L) / 10_007.0;
    }

    private void prefetch(String customer, CustomerLease lease, long nowMs) {
        if (wantedTokens(lease, nowMs) > 0) {
            flush(customer, lease);
        }
    }

    private double wantedTokens(CustomerLease lease, long nowMs) {
        double expected = nowMs < lease.constrainedUntilMs ? Math.floor(lease.expectedRequests(PREFETCH_MS)) : 0;
        return lease.waiting.size() + Math.max(0, expected - lease.heldTokens(nowMs));
    }

    /** Reports what is to be reported: at once if a request waits, and otherwise in batches. */
    private void flush(String customer, CustomerLease lease) {
        long nowMs = clock.nowMs();
        if (lease.asking || lease.limit.equals(RateLimit.NONE)) {
            return;
        }
        long delayMs = lease.waiting.isEmpty() ? lease.askedMs + BATCH_MS - nowMs : 0;
        if (delayMs <= 0) {
            ask(customer, lease, nowMs);
        } else if (!lease.flushScheduled) {
            lease.flushScheduled = true;
            scheduler.schedule(delayMs, () -> {
                lease.flushScheduled = false;
                enter();
                flush(customer, lease);
            });
        }
    }

    private void ask(String customer, CustomerLease lease, long nowMs) {
        double wanted = wantedTokens(lease, nowMs);
        if (wanted == 0 && lease.usedTokens == 0 && lease.returnedTokens == 0) {
            return;
        }
        Optional<String> keeper = keeper(customer, lease);
        if (keeper.isEmpty()) {
            return;
        }
        lease.askedMs = nowMs;
        double used = lease.usedTokens;
        double returned = lease.returnedTokens;
        lease.usedTokens = 0;
        lease.returnedTokens = 0;
        if (keeper.get().equals(host)) {
            QuotaAccount account = accounts.open(customer, lease.limit, lease.configVersion, nowMs);
            apply(
                    customer,
                    lease,
                    host,
                    nowMs,
                    accounts.serve(customer, account, used, returned, wanted, nowMs)
                            .build());
            return;
        }
        lease.asking = true;
        QuotaRequest.Builder request = QuotaRequest.newBuilder()
                .setCustomer(customer)
                .setUsedTokens(used)
                .setReturnedTokens(returned)
                .setWantedTokens(wanted)
                .setLimitPerS(lease.limit.perS())
                .setBurst(lease.limit.burst())
                .setConfigVersion(lease.configVersion);
        messages.sendRepeatedly(keeper.get(), request, new QuotaMessages.ReplyHandler() {
            @Override
            public void onReply(QuotaReply reply) {
                lease.asking = false;
                if (reply.getKeepsAccount()) {
                    apply(customer, lease, keeper.get(), nowMs, reply);
                } else {
                    onElsewhere(customer, lease, keeper.get(), used, returned);
                }
            }

            @Override
            public void onLost() {
                lease.asking = false;
                onUnanswered(customer, lease, used);
            }
        });
    }

    private void apply(String customer, CustomerLease lease, String keeper, long askedMs, QuotaReply reply) {
        long nowMs = clock.nowMs();
        lease.lostRequests = 0;
        lease.acknowledged = true;
        lease.sharing = false;
        lease.unacknowledgedTokens = lease.usedTokens;
        lease.accountAgeMs = reply.getAccountAgeMs();
        lease.decidedBy = keeper;
        if (reply.getConstrained()) {
            double granted = isCount(reply.getGrantedTokens()) ? reply.getGrantedTokens() : 0;
            lease.constrainedUntilMs = nowMs + CONSTRAINED_MS;
            lease.hold(granted, askedMs + Math.min(VALIDITY_MS, reply.getValidityMs()), nowMs);
            scheduleReturn(customer, lease);
            if (reply.getRetryAfterMs() > 0) {
                lease.retryAtMs = nowMs + reply.getRetryAfterMs();
                lease.refusedUntilMs = nowMs + Math.min(REFUSED_MS, reply.getRetryAfterMs());
            }
        } else {
            lease.constrainedUntilMs = 0;
        }
        decideWaiting(lease, reply, nowMs);
        flush(customer, lease);
    }

    private void decideWaiting(CustomerLease lease, QuotaReply reply, long nowMs) {
        List<CustomerLease.Waiting> decided = List.copyOf(lease.waiting);
        lease.waiting.clear();
        decided.forEach(waiting -> {
            boolean granted = !reply.getConstrained() || lease.takeHeld(nowMs);
            if (!reply.getConstrained()) {
                lease.usedTokens++;
                lease.unacknowledgedTokens++;
            }
            if (granted) {
                waiting.callback().accept(Decision.GRANTED);
            } else if (nowMs < lease.refusedUntilMs) {
                waiting.callback().accept(refusal(lease, nowMs));
            } else {
                // It came after the message was sent, so that no token was asked for.
                lease.waiting.add(waiting);
            }
        });
    }

    /** Returns tokens that were not used before they expired. */
    private void scheduleReturn(String customer, CustomerLease lease) {
        if (lease.heldTokens(clock.nowMs()) > 0) {
            scheduler.schedule(VALIDITY_MS, () -> {
                lease.heldTokens(enter());
                flush(customer, lease);
            });
        }
    }

    private void onElsewhere(String customer, CustomerLease lease, String asked, double used, double returned) {
        lease.notKeepers.add(asked);
        scheduler.schedule(ELSEWHERE_MS, () -> {
            lease.notKeepers.remove(asked);
            enter();
            flush(customer, lease);
        });
        lease.usedTokens += used;
        lease.returnedTokens += returned;
        flush(customer, lease);
    }

    /** Used tokens are reported again, so that they may count twice, but never not at all; returned ones are not. */
    private void onUnanswered(String customer, CustomerLease lease, double used) {
        lease.lostRequests++;
        lease.usedTokens += used;
        flush(customer, lease);
    }

    // Messages and time

    private Optional<String> keeper(String customer, CustomerLease lease) {
        if (lease.notKeepers.isEmpty()) {
            return firstKeeper(customer);
        }
        return order.candidates(customer)
                .limit(MAX_KEEPERS_ASKED)
                .filter(candidate -> !lease.notKeepers.contains(candidate))
                .findFirst();
    }

    private Optional<String> firstKeeper(String customer) {
        if (keepersVersion != order.version()) {
            keepersVersion = order.version();
            keepers.clear();
        }
        return keepers.computeIfAbsent(customer, c -> order.candidates(c).findFirst());
    }

    private void onSilent(String name) {
        long nowMs = clock.nowMs();
        boolean lost = order.onTimeout(name, nowMs);
        if (lost && nowMs - lossMs > LOSS_INTERVAL_MS) {
            lossMs = nowMs;
            ping(PINGS_AFTER_LOSS, nowMs);
        }
    }

    /** Notes the time, and whether this host has run at all since the last one; returns the time. */
    private long enter() {
        long nowMs = clock.nowMs();
        if (ticking && nowMs - enteredMs > PAUSE_MS) {
            onPause(nowMs);
        }
        enteredMs = nowMs;
        order.refresh(network.mayKeep(), nowMs);
        return nowMs;
    }

    /** Keeps the periodic checks going for some time; pings and their replies do not. */
    private void recordUse(long nowMs) {
        usedMs = nowMs;
        startTicking();
    }

    /** Other hosts may have kept the accounts meanwhile. Held tokens are dropped without being returned. */
    private void onPause(long nowMs) {
        resumedMs = nowMs;
        accounts.resume(nowMs);
        leases.values().forEach(CustomerLease::dropHeld);
    }

    private void startTicking() {
        if (!ticking) {
            ticking = true;
            scheduler.schedule(TICK_MS, this::tick);
        }
    }

    private void tick() {
        long nowMs = enter();
        if (nowMs - usedMs > ACTIVE_MS) {
            ticking = false;
            return;
        }
        scheduler.schedule(TICK_MS, this::tick);
        closeAccountsKeptElsewhere();
        reach.nextRound();
        List<String> silent = order.silent(nowMs);
        if (!silent.isEmpty()) {
            messages.sendRepeatedly(
                    silent.get(Math.floorMod(nextSilent++, silent.size())),
                    QuotaRequest.newBuilder(),
                    QuotaMessages.ReplyHandler.NONE);
        }
        if (accounts.size() > 0 && (!silent.isEmpty() || nowMs - accounts.constrainedMs() < ACTIVE_MS)) {
            ping(PINGS_PER_TICK, nowMs);
        }
    }

    private void closeAccountsKeptElsewhere() {
        if (checkedVersion != order.version()) {
            checkedVersion = order.version();
            accounts.removeIf(customer -> !firstKeeper(customer).equals(Optional.of(host)));
        }
    }

    /** Asks a few hosts, whether silent or not, to find out how many of all this host reaches. */
    private void ping(int count, long nowMs) {
        List<String> others = order.remembered(nowMs);
        for (int i = 0; i < Math.min(count, others.size()); i++) {
            ping(others.get(Math.floorMod(host.hashCode() + nextPing++, others.size())));
        }
    }

    private void ping(String other) {
        int round = reach.round();
        messages.sendRepeatedly(other, QuotaRequest.newBuilder(), new QuotaMessages.ReplyHandler() {
            @Override
            public void onReply(QuotaReply reply) {
                reach.countAnswered(round);
            }

            @Override
            public void onLost() {
                reach.countLost(round);
            }
        });
    }
}
