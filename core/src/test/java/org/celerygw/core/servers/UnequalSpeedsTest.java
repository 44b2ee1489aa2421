package org.celerygw.core.servers;

import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Load pattern: many hosts, each with its own view of the load that is refreshed a few times a second, send requests to
 * servers that differ in speed. Guards against slow servers that get as many requests as fast ones, and against hosts that
 * all choose the fastest one.
 */
public class UnequalSpeedsTest {
    private static final int HOSTS = 12;
    private static final int SERVERS = 12;
    private static final int SLOTS = 6;
    private static final double WORK_MS = 100;
    private static final int VIEW_INTERVAL_MS = 400;

    private record End(long atMs, Runnable action) {}

    private final Random random = new Random(3);
    private final ServerList[] views = new ServerList[HOSTS];
    private final ServerSelector[] selectors = new ServerSelector[HOSTS];
    private final SpeedLearner[] learners = new SpeedLearner[HOSTS];
    private final int[] running = new int[SERVERS];
    private final double[] busyMs = new double[SERVERS];
    private final PriorityQueue<End> ends = new PriorityQueue<>((a, b) -> Long.compare(a.atMs(), b.atMs()));
    private double sumMs;
    private int count;

    /** Runs a minute at the given share of the capacity and returns the mean response time of its second half, in ms. */
    private double meanMs(double utilization, boolean learns, IntToDoubleFunction slowness) {
        random.setSeed(3);
        IntStream.range(0, HOSTS).forEach(h -> {
            views[h] = new ServerList(s -> {});
            IntStream.range(0, SERVERS)
                    .forEach(i ->
                            views[h].put(new BackendServer("s" + i, "t", "127.0.0.1", 1, "z", "v1", SLOTS, false, 1)));
            selectors[h] = new ServerSelector("z", server -> {});
            learners[h] = new SpeedLearner();
        });
        Arrays.fill(running, 0);
        Arrays.fill(busyMs, 0);
        ends.clear();
        sumMs = 0;
        count = 0;
        double capacity = IntStream.range(0, SERVERS)
                        .mapToDouble(i -> 1 / slowness.applyAsDouble(i))
                        .sum()
                * SLOTS
                / WORK_MS;
        for (long now = 0; now < 60_000; now++) {
            long nowMs = now;
            while (!ends.isEmpty() && ends.peek().atMs() <= nowMs) {
                ends.poll().action().run();
            }
            if (nowMs % VIEW_INTERVAL_MS == 0) {
                exchangeViews(nowMs);
            }
            for (double p = capacity * utilization; random.nextDouble() < p; p--) {
                send(random.nextInt(HOSTS), nowMs, learns, slowness);
            }
        }
        return sumMs / count;
    }

    private void exchangeViews(long nowMs) {
        for (int h = 0; h < HOSTS; h++) {
            SpeedLearner.updateServiceMeans(views[h].all(), nowMs);
            for (TrackedServer server : views[h].byService("t")) {
                int i = Integer.parseInt(server.entry().id().substring(1));
                server.setPeersLoad(new PeersLoad(running[i] - server.inFlight(), 0, 0, 0), 0);
            }
        }
    }

    private void send(int h, long nowMs, boolean learns, IntToDoubleFunction slowness) {
        List<TrackedServer> servers = views[h].byService("t");
        TrackedServer server = selectors[h]
                .selectServer(servers, Set.of(), "request" + random.nextLong(), nowMs)
                .orElseThrow();
        int i = Integer.parseInt(server.entry().id().substring(1));
        int load = server.load();
        server.requestStarted();
        running[i]++;
        double queued = Math.max(1, running[i] / (double) SLOTS);
        long durationMs = (long) (WORK_MS * (0.5 + random.nextDouble()) * slowness.applyAsDouble(i) * queued);
        ends.add(new End(nowMs + durationMs, () -> {
            server.requestEnded();
            running[i]--;
            if (learns) {
                learners[h].recordResponse(server, "r", load, durationMs, nowMs + durationMs);
            }
            if (nowMs > 30_000) {
                sumMs += durationMs;
                count++;
                busyMs[i] += durationMs;
            }
        }));
    }

    private double busiestOverMean() {
        double mean = IntStream.range(0, SERVERS)
                .mapToDouble(i -> busyMs[i])
                .average()
                .orElseThrow();
        return IntStream.range(0, SERVERS).mapToDouble(i -> busyMs[i]).max().orElseThrow() / mean;
    }

    private void assertFaster(String name, double utilization, double factor, IntToDoubleFunction slowness) {
        double before = meanMs(utilization, false, slowness);
        double busiestBefore = busiestOverMean();
        double after = meanMs(utilization, true, slowness);
        String figures = String.format(
                "%s: mean %.0f ms before, %.0f ms after; busiest over mean %.2f before, %.2f after",
                name, before, after, busiestBefore, busiestOverMean());
        System.out.println(figures);
        assertTrue(after < before * factor, figures);
    }

    @Test
    public void slowServersGetLessOfTheWork() {
        assertFaster("0.6, 1 and 1.6", 0.6, 0.95, i -> List.of(0.6, 1.0, 1.6).get(i % 3));
    }

    @Test
    public void slowTenthHoldsUpFew() {
        assertFaster("slow tenth", 0.6, 0.97, i -> i == 0 ? 2.7 : 1);
    }

    @Test
    public void equallyFastServersAreUsedAsBefore() {
        double before = meanMs(0.6, false, i -> 1);
        double after = meanMs(0.6, true, i -> 1);
        assertTrue(after < before * 1.03, before + " ms, then " + after + " ms");
    }
}
