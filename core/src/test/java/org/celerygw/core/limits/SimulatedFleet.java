package org.celerygw.core.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.PermitReply;
import org.celerygw.core.gen.peers.PermitRequest;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.TrackedServer;

/**
 * Hosts that all want to send as much as they can to servers with a request limit, in simulated time. Hosts hear of each
 * other in turn, six in a round; messages are delayed and some are lost.
 */
final class SimulatedFleet {
    private static final long ROUND_MS = 400;
    private static final int ROUND_SIZE = 6;
    private static final long POLL_MS = 10;
    private static final double LOSS_RATE = 0.03;

    final List<Host> hosts = new ArrayList<>();
    final Map<String, List<Long>> arrivalsMs = new HashMap<>();
    final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private final int servers;
    private final double limitPerS;
    private long eventNumber;
    private long nowMs;

    private record Event(long atMs, long number, Runnable action) {}

    SimulatedFleet(int hosts, int servers, double limitPerS, long seed) {
        this.random = new Random(seed);
        this.servers = servers;
        this.limitPerS = limitPerS;
        IntStream.range(0, servers).forEach(i -> arrivalsMs.put("s" + i, new ArrayList<>()));
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

    /** Returns the most requests that one server got within 4 s after a time. */
    int mostInWindow(long fromMs) {
        int most = 0;
        for (List<Long> times : arrivalsMs.values()) {
            List<Long> counted = times.stream().filter(t -> t >= fromMs).toList();
            for (int first = 0, last = 0; last < counted.size(); last++) {
                while (counted.get(last) - counted.get(first) >= 4_000) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        return most;
    }

    /** Returns how many requests all servers got between two times. */
    long arrivals(long fromMs, long toMs) {
        return arrivalsMs.values().stream()
                .flatMap(List::stream)
                .filter(t -> t >= fromMs && t < toMs)
                .count();
    }

    /** One host; a new process of it knows nothing. */
    final class Host implements Permits.Network {
        final String name;
        private ServerList list = new ServerList(s -> {});
        private Permits permits;
        private Set<String> notGranting = new HashSet<>();
        private boolean leaving;
        private boolean up;
        private boolean cut;
        private boolean excused;
        private long frozenUntilMs;
        private int process;
        private int nextPeer;

        Host(String name) {
            this.name = name;
        }

        void start() {
            int started = ++process;
            up = true;
            leaving = false;
            notGranting = new HashSet<>();
            list = new ServerList(s -> {});
            IntStream.range(0, servers)
                    .forEach(i -> list.put(new BackendServer("s" + i, "s", "10.0.0.1", i, "z", "v1", 8, false, 1)));
            permits =
                    new Permits(name, () -> nowMs, (delayMs, task) -> run(started, nowMs + delayMs, task), list, this);
            run(started, nowMs + random.nextInt((int) ROUND_MS), this::round);
            run(started, nowMs + random.nextInt((int) POLL_MS), this::poll);
        }

        void kill() {
            up = false;
            process++;
        }

        /** Announces the end and dies a little later. */
        void stop() {
            leaving = true;
            at(nowMs + 3_000, this::kill);
        }

        void freeze(long durationMs) {
            frozenUntilMs = nowMs + durationMs;
        }

        void cut(boolean value) {
            cut = value;
        }

        /** Its requests do not count while and shortly after it is disturbed. */
        void excuse(long durationMs) {
            excused = true;
            at(nowMs + durationMs, () -> excused = false);
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
            if (!cut && !receiver.cut && receiver.up && random.nextDouble() >= LOSS_RATE) {
                receiver.run(receiver.process, nowMs + 1 + random.nextInt(3), task);
            }
        }

        private void round() {
            boolean grants = permits.grants();
            for (int i = 0; i < ROUND_SIZE; i++) {
                Host receiver = hosts.get(nextPeer++ % hosts.size());
                if (receiver != this) {
                    deliver(receiver, () -> receiver.hear(name, grants));
                }
            }
            run(process, nowMs + ROUND_MS, this::round);
        }

        private void hear(String sender, boolean grants) {
            permits.onHostAlive(sender);
            if (grants) {
                notGranting.remove(sender);
            } else {
                notGranting.add(sender);
            }
        }

        private void poll() {
            for (TrackedServer server : list.all()) {
                server.limit().recordTold(limitPerS, 0, nowMs);
                if (server.limit().allowsRequest(nowMs)) {
                    server.requestStarted();
                    if (!excused) {
                        arrivalsMs.get(server.entry().id()).add(nowMs);
                    }
                }
                permits.request(server);
            }
            run(process, nowMs + POLL_MS, this::poll);
        }

        @Override
        public Collection<String> grantingHosts() {
            return hosts.stream()
                    .map(other -> other.name)
                    .filter(other -> !other.equals(name) && !notGranting.contains(other))
                    .toList();
        }

        @Override
        public void send(String receiver, PermitRequest request) {
            Host other = hosts.get(Integer.parseInt(receiver.substring("host-".length())));
            deliver(other, () -> {
                PermitReply reply = other.permits.answer(request);
                other.deliver(this, () -> permits.onReply(reply));
            });
        }

        @Override
        public void announce(String receiver) {
            Host other = hosts.get(Integer.parseInt(receiver.substring("host-".length())));
            deliver(other, () -> other.hear(name, permits.grants()));
        }

        @Override
        public boolean mayGrant() {
            return !leaving;
        }
    }
}
