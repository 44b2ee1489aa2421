package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Load pattern: requests about objects, which take half as long at a server that has handled the object in the last
 * seconds. Guards against servers that are overloaded by popular objects, and against caches that stay unused.
 */
public class CacheAffinityTest {
    private static final int HOSTS = 12;
    private static final int SERVERS = 20;
    private static final int SLOTS = 6;
    private static final double UTILIZATION = 0.6;
    private static final double MEAN_WORK_MS = 130;
    private static final int VIEW_INTERVAL_MS = 400;
    private static final long WARM_MS = 20_000;
    private static final long DURATION_MS = 40_000;

    private record Event(long atMs, Runnable action) {}

    /** A run of all hosts with or without affinity. */
    private static final class Run {
        final Random random = new Random(5);
        final boolean sticky;
        final double saved;
        final LongFunction<String> keyAt;
        final ServerList[] views = new ServerList[HOSTS];
        final ServerSelector[] selectors = new ServerSelector[HOSTS];
        final int[] held = new int[SERVERS];
        final int[] busy = new int[SERVERS];
        final double[] busyMs = new double[SERVERS];
        final List<Deque<Runnable>> queues = IntStream.range(0, SERVERS)
                .<Deque<Runnable>>mapToObj(i -> new ArrayDeque<>())
                .toList();
        final Map<String, Long> warmAtMs = new HashMap<>();
        final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMs));
        long leaveAtMs = Long.MAX_VALUE;
        long nowMs;
        double sumMs;
        double warm;
        int count;

        Run(boolean sticky, double saved, LongFunction<String> keyAt) {
            this.sticky = sticky;
            this.saved = saved;
            this.keyAt = keyAt;
            for (int h = 0; h < HOSTS; h++) {
                views[h] = new ServerList(s -> {});
                selectors[h] = new ServerSelector("z", s -> {});
                IntStream.range(0, SERVERS).forEach(this::register);
            }
        }

        private void register(int i) {
            Arrays.stream(views).filter(Objects::nonNull).forEach(view -> view.put(entry(i, false)));
        }

        private static BackendServer entry(int i, boolean draining) {
            return new BackendServer("s" + i, "t", "127.0.0.1", 1, "z", "v1", SLOTS, draining, 1);
        }

        Run run() {
            for (; nowMs < DURATION_MS; nowMs++) {
                while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                    events.poll().action().run();
                }
                if (nowMs % VIEW_INTERVAL_MS == 0) {
                    exchangeViews();
                }
                if (nowMs == leaveAtMs) {
                    int busiest = IntStream.range(0, SERVERS)
                            .boxed()
                            .max(Comparator.comparingDouble(i -> busyMs[i]))
                            .orElseThrow();
                    Arrays.stream(views).forEach(view -> view.put(entry(busiest, true)));
                }
                double perMs = UTILIZATION * SERVERS * SLOTS / MEAN_WORK_MS;
                for (double p = perMs; random.nextDouble() < p; p--) {
                    send(random.nextInt(HOSTS), keyAt.apply(nowMs));
                }
            }
            return this;
        }

        private void exchangeViews() {
            for (ServerList view : views) {
                SpeedLearner.updateServiceMeans(view.all(), nowMs);
                view.all()
                        .forEach(server -> server.setPeersLoad(
                                new PeersLoad(held[index(server)] - server.inFlight(), 0, 0, 0), 0));
            }
        }

        private static int index(TrackedServer server) {
            return Integer.parseInt(server.entry().id().substring(1));
        }

        private void send(int h, String key) {
            List<TrackedServer> servers = views[h].byService("t");
            Optional<TrackedServer> chosen = sticky
                    ? selectors[h].selectStickyServer(servers, Set.of(), "r", key, nowMs)
                    : selectors[h].selectServer(servers, Set.of(), key, nowMs);
            TrackedServer server = chosen.orElseThrow();
            int i = index(server);
            long sentMs = nowMs;
            server.requestStarted();
            held[i]++;
            Runnable start = () -> {
                busy[i]++;
                boolean isWarm = nowMs - warmAtMs.getOrDefault(key + i, -WARM_MS) < WARM_MS;
                double workMs = (52 + 157 * random.nextDouble()) * (isWarm ? 1 - saved : 1);
                events.add(new Event(nowMs + (long) workMs, () -> {
                    server.requestEnded();
                    held[i]--;
                    busy[i]--;
                    busyMs[i] += workMs;
                    warmAtMs.put(key + i, nowMs);
                    selectors[h].cacheAffinity().recordResponse(server, servers, "r", key, nowMs - sentMs, nowMs);
                    if (sentMs > DURATION_MS / 2) {
                        sumMs += nowMs - sentMs;
                        warm += isWarm ? 1 : 0;
                        count++;
                    }
                    if (!queues.get(i).isEmpty()) {
                        queues.get(i).poll().run();
                    }
                }));
            };
            if (busy[i] < SLOTS) {
                start.run();
            } else {
                queues.get(i).add(start);
            }
        }

        double meanMs() {
            return sumMs / count;
        }

        double busiestOverMean() {
            return Arrays.stream(busyMs).max().orElseThrow()
                    / Arrays.stream(busyMs).average().orElseThrow();
        }
    }

    private static void assertMean(String name, double factor, double maxBusiest, LongFunction<String> keyAt) {
        assertMean(name, factor, maxBusiest, 0.5, Long.MAX_VALUE, keyAt);
    }

    private static void assertMean(
            String name, double factor, double maxBusiest, double saved, long leaveAtMs, LongFunction<String> keyAt) {
        Run before = new Run(false, saved, keyAt);
        before.leaveAtMs = leaveAtMs;
        before.run();
        Run after = new Run(true, saved, keyAt);
        after.leaveAtMs = leaveAtMs;
        after.run();
        String figures = String.format(
                "%s: mean %.0f ms before, %.0f ms after; warm %.2f and %.2f; busiest over mean %.2f and %.2f",
                name,
                before.meanMs(),
                after.meanMs(),
                before.warm / before.count,
                after.warm / after.count,
                before.busiestOverMean(),
                after.busiestOverMean());
        System.out.println(figures);
        assertTrue(after.meanMs() <= factor * before.meanMs(), figures);
        assertTrue(after.busiestOverMean() <= maxBusiest, figures);
    }

    private static LongFunction<String> keys(long seed, int keys, int hot, double hotShare) {
        Random random = new Random(seed);
        return nowMs -> random.nextDouble() < hotShare ? "hot" + random.nextInt(hot) : "key" + random.nextInt(keys);
    }

    @Test
    public void noKeyIsHot() {
        assertMean("no key hot", 0.95, 1.6, keys(1, 6_000, 1, 0));
    }

    @Test
    public void hotKeyIsSpread() {
        assertMean("28 in 100", 0.95, 1.6, keys(2, 6_000, 1, 0.28));
    }

    @Test
    public void twentyWarmKeys() {
        assertMean("twenty warm keys", 1.02, 1.8, keys(3, 6_000, 20, 0.6));
    }

    @Test
    public void serverOfPopularKeyLeaves() {
        assertMean("server leaves", 0.97, 1.8, 0.5, DURATION_MS / 2, keys(4, 6_000, 1, 0.28));
    }

    @Test
    public void burstOnOneObject() {
        LongFunction<String> calm = keys(5, 6_000, 1, 0);
        LongFunction<String> burst = keys(6, 6_000, 1, 0.6);
        assertMean("burst", 0.97, 1.8, nowMs -> nowMs / 2_000 % 5 == 4 ? burst.apply(nowMs) : calm.apply(nowMs));
    }

    /** Guards against an affinity that only unbalances the load. */
    @Test
    public void cachesThatSaveNothingAreNotPreferred() {
        assertMean("nothing saved", 1.03, 1.4, 0, Long.MAX_VALUE, keys(7, 6_000, 1, 0.28));
    }

    @Test
    public void serverThatLeavesMovesOnlyItsKeys() {
        Run run = new Run(true, 0.5, nowMs -> "key");
        List<TrackedServer> all = run.views[0].byService("t");
        List<TrackedServer> fewer = all.subList(1, SERVERS);
        IntStream.range(0, 500).mapToObj(i -> "key" + i).forEach(key -> {
            TrackedServer first = Rendezvous.first(all, key, server -> 1).orElseThrow();
            if (first != all.get(0)) {
                assertEquals(Rendezvous.first(fewer, key, server -> 1).orElseThrow(), first);
            }
        });
    }
}
