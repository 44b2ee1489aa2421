package org.celerygw.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.RateLimit;

/** Hosts that serve customers with quotas, in simulated time; messages are delayed and some are lost. */
final class QuotaFleet {
    static final QuotaBounds BOUNDS = new QuotaBounds(5_000, 0.1, 20);
    /** From then on, accounts have refilled what customers send unevenly. */
    static final long WITH_BURST_MS = 3_000;
    /** Hosts ask for tokens for 5 s after an account that had no burst yet was near its limit. */
    private static final long UNCONSTRAINED_MS = WITH_BURST_MS + 5_000;

    private static final long ROUND_MS = 400;
    private static final int ROUND_SIZE = 6;
    private static final double LOSS_RATE = 0.02;

    final List<Host> hosts = new ArrayList<>();
    final Map<String, List<Long>> admittedMs = new HashMap<>();
    final Map<String, List<Long>> refusedMs = new HashMap<>();
    final Map<String, Long> longestRetryMs = new HashMap<>();
    final Random random;
    /** Whether a message from one host to another is lost. */
    BiPredicate<Host, Host> cut = (a, b) -> false;

    final Map<String, Long> longestWaitMs = new HashMap<>();
    long messages;
    long nowMs;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private long eventNumber;

    private record Event(long atMs, long number, Runnable action) {}

    QuotaFleet(int hosts, long seed) {
        random = new Random(seed);
        IntStream.range(0, hosts).forEach(i -> this.hosts.add(new Host("host-" + i)));
        this.hosts.forEach(Host::start);
    }

    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = endMs;
    }

    void at(long timeMs, Runnable action) {
        events.add(new Event(timeMs, eventNumber++, action));
    }

    static Customer customer(String name, double perS, double burst) {
        return new Customer(new CustomerId(name), OptionalInt.empty(), new RateLimit(perS, burst));
    }

    /** Sends requests of a customer to random hosts at a rate until a time. */
    void load(Supplier<Customer> customer, List<Host> targets, double perS, long fromMs, long toMs) {
        for (double timeMs = fromMs + random.nextDouble() * 1_000 / perS; timeMs < toMs; ) {
            at((long) timeMs, () -> request(customer.get(), targets.get(random.nextInt(targets.size()))));
            timeMs += -Math.log(1 - random.nextDouble()) * 1_000 / perS;
        }
    }

    /** Sends requests of a customer to one host at regular intervals. */
    void loadEvenly(Customer customer, Host target, double perS, long fromMs, long toMs) {
        for (double timeMs = fromMs; timeMs < toMs; timeMs += 1_000 / perS) {
            at((long) timeMs, () -> request(customer, target));
        }
    }

    private void request(Customer customer, Host target) {
        if (!target.up) {
            return;
        }
        String name = customer.id().value();
        long arrivedMs = nowMs;
        long version = target.configVersion;
        target.run(
                target.process,
                nowMs,
                () -> target.quotas.acquire(customer, version, decision -> {
                    if (arrivedMs >= UNCONSTRAINED_MS && arrivedMs >= target.frozenUntilMs) {
                        longestWaitMs.merge(name, nowMs - arrivedMs, Math::max);
                    }
                    if (!decision.granted() && target.excused) {
                        return;
                    }
                    (decision.granted() ? admittedMs : refusedMs)
                            .computeIfAbsent(name, n -> new ArrayList<>())
                            .add(nowMs);
                    longestRetryMs.merge(name, decision.retryAfterMs(), Math::max);
                }));
    }

    /** Returns by how much the requests of a customer in any window exceed what may run there; not positive if kept. */
    double excess(String customer, RateLimit limit, long fromMs) {
        double allowed = limit.perS() * BOUNDS.windowMs() / 1_000 + limit.burst() + BOUNDS.excess(limit);
        List<Long> times = admittedMs.getOrDefault(customer, List.of()).stream()
                .filter(t -> t >= fromMs)
                .toList();
        int most = 0;
        for (int first = 0, last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= BOUNDS.windowMs()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most - allowed;
    }

    long count(Map<String, List<Long>> counted, String customer, long fromMs, long toMs) {
        return counted.getOrDefault(customer, List.of()).stream()
                .filter(t -> t >= fromMs && t < toMs)
                .count();
    }

    /** Returns the host that should keep a customer's account. */
    Host keeper(String customer) {
        return hosts.stream()
                .max(Comparator.comparing(host -> KeeperOrder.weight(customer, host.name)))
                .orElseThrow();
    }

    /** One host; a new process of it knows nothing but the list of hosts. */
    final class Host implements CustomerQuotas.Network {
        final String name;
        CustomerQuotas quotas;
        long configVersion = 1;
        boolean up;
        /** Whether its refusals don't count. */
        boolean excused;

        private Set<String> known = new HashSet<>();
        private long frozenUntilMs;
        private int process;
        private int nextPeer;

        Host(String name) {
            this.name = name;
        }

        void start() {
            int started = ++process;
            up = true;
            known = new HashSet<>();
            quotas = new CustomerQuotas(
                    name, () -> nowMs, (delayMs, task) -> run(started, nowMs + delayMs, task), BOUNDS, this);
            run(started, nowMs + random.nextInt((int) ROUND_MS), this::round);
            run(started, nowMs + 30 + random.nextInt(100), () -> hosts.forEach(host -> known.add(host.name)));
        }

        void kill() {
            up = false;
            process++;
        }

        void freeze(long durationMs) {
            frozenUntilMs = nowMs + durationMs;
        }

        /** Runs a task of a process; a frozen process runs it when it wakes. */
        private void run(int ofProcess, long timeMs, Runnable task) {
            at(timeMs, () -> {
                if (ofProcess != process) {
                    return;
                }
                if (nowMs < frozenUntilMs) {
                    run(ofProcess, frozenUntilMs, task);
                } else {
                    task.run();
                }
            });
        }

        private void deliver(Host receiver, Runnable task) {
            messages++;
            if (!cut.test(this, receiver) && receiver.up && random.nextDouble() >= LOSS_RATE) {
                receiver.run(receiver.process, nowMs + 1 + random.nextInt(3), task);
            }
        }

        private void round() {
            for (int i = 0; i < ROUND_SIZE; i++) {
                announce(hosts.get(nextPeer++ % hosts.size()).name);
            }
            messages -= ROUND_SIZE;
            run(process, nowMs + ROUND_MS, this::round);
        }

        private Host host(String receiver) {
            return hosts.get(Integer.parseInt(receiver.substring("host-".length())));
        }

        @Override
        public Collection<String> hosts() {
            return known.stream().filter(other -> !other.equals(name)).toList();
        }

        @Override
        public boolean mayKeep() {
            return !known.isEmpty();
        }

        @Override
        public void send(String receiver, QuotaRequest request) {
            Host other = host(receiver);
            deliver(other, () -> other.quotas.answer(request, reply -> other.sendNotice(name, reply)));
        }

        @Override
        public void sendNotice(String receiver, QuotaReply notice) {
            Host other = host(receiver);
            deliver(other, () -> other.quotas.onReply(notice));
        }

        @Override
        public void announce(String receiver) {
            Host other = host(receiver);
            deliver(other, () -> other.quotas.onHostAlive(name));
        }
    }
}
