package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.peers.FleetLoadEstimator;
import org.celerygw.core.peers.ReceivedDigest;
import org.celerygw.core.servers.SpeedLearner.EngineTimes;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Load pattern: servers of one service that differ in speed, briefly or for good, under requests of varying work. */
public class ServerSpeedTest {
    private static final int SERVERS = 10;

    private final Random random = new Random(1);
    private ServerList servers;
    private SpeedLearner learner;
    private long nowMs;

    @BeforeMethod
    public void addServers() {
        random.setSeed(1);
        servers = newServers();
        learner = new SpeedLearner();
        nowMs = 1_000_000;
    }

    private static ServerList newServers() {
        ServerList list = new ServerList(s -> {});
        IntStream.range(0, SERVERS).forEach(i -> put(list, i, 1));
        return list;
    }

    private static void put(ServerList list, int i, long startedMs) {
        list.put(new BackendServer("s" + i, "t", "127.0.0.1", 1, "z", "v1", 6, false, startedMs));
    }

    private TrackedServer server(int i) {
        return Objects.requireNonNull(servers.byId("s" + i));
    }

    /** Lets each server respond several times a second, at the given quotient of the mean time. */
    private void respond(double seconds, double... slowness) {
        long untilMs = nowMs + (long) (seconds * 1_000);
        for (; nowMs < untilMs; nowMs += 200) {
            IntStream.range(0, slowness.length)
                    .forEach(i -> learner.recordResponse(
                            server(i), "r", 1, (long) (slowness[i] * (50 + 150 * random.nextDouble())), nowMs));
            SpeedLearner.updateServiceMeans(servers.all(), nowMs);
        }
    }

    private double slowness(int i) {
        return server(i).speed().slowness(nowMs);
    }

    private static double[] equalBut(int slow, double slowness) {
        return IntStream.range(0, SERVERS)
                .mapToDouble(i -> i == slow ? slowness : 1)
                .toArray();
    }

    @Test
    public void speedsAreLearnedFromUnequalWork() {
        respond(20, 0.6, 0.6, 0.6, 1, 1, 1, 1, 1.6, 1.6, 1.6);
        assertEquals(slowness(7) / slowness(0), 1.6 / 0.6, 0.6);
        assertTrue(slowness(0) < 1 && slowness(7) > 1.2, slowness(0) + " " + slowness(7));
    }

    /** Guards against choices that differ although only the work of the requests does. */
    @Test
    public void equallyFastServersHaveTheMeanSpeed() {
        respond(60, equalBut(0, 1));
        IntStream.range(0, SERVERS).forEach(i -> assertEquals(slowness(i), 1.0, "server " + i));
    }

    @Test
    public void slowMomentOfAllRequestsInFlightChangesNothing() {
        respond(20, equalBut(0, 1));
        IntStream.range(0, 16).forEach(i -> learner.recordResponse(server(0), "r", 1, 125 + 300, nowMs + i));
        SpeedLearner.updateServiceMeans(servers.all(), nowMs);
        assertEquals(slowness(0), 1.0);
    }

    @Test
    public void serverThatTurnsSlowIsFoundAndTriedUntilItHasRecovered() {
        respond(20, equalBut(0, 1));
        respond(5, equalBut(0, 2.7));
        assertTrue(slowness(0) > 1.3, "after 5 s: " + slowness(0));
        respond(10, equalBut(0, 2.7));
        assertTrue(slowness(0) > 1.8, "after 15 s: " + slowness(0));
        assertTrue(!server(0).speed().needsTrial(nowMs));
        assertTrue(server(0).speed().needsTrial(nowMs + ServerSpeed.TRIAL_INTERVAL_MS));
        respond(15, equalBut(0, 1));
        assertEquals(slowness(0), 1.0);
    }

    @Test
    public void estimateWithoutSamplesBecomesTheMean() {
        respond(20, equalBut(0, 2.7));
        nowMs += 60_000;
        assertEquals(slowness(0), 1.0);
    }

    @Test
    public void newIncarnationIsLearnedAnew() {
        respond(20, equalBut(0, 2.7));
        put(servers, 0, 2);
        assertEquals(slowness(0), 1.0);
    }

    /** Guards against a host that takes the slow servers which it uses for the mean. */
    @Test
    public void hostThatUsesSlowServersOnlyLearnsFromPeers() {
        respond(20, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2);
        Digest digest = Digest.newBuilder()
                .setHost("peer")
                .addAllLoads(FleetLoadEstimator.localLoads(servers, nowMs))
                .build();
        servers = newServers();
        learner = new SpeedLearner();
        FleetLoadEstimator estimator = new FleetLoadEstimator(6, 400);
        for (int i = 0; i < 100; i++, nowMs += 200) {
            learner.recordResponse(server(8), "r", 1, 200, nowMs);
            learner.recordResponse(server(9), "r", 1, 200, nowMs);
            estimator.updateServers(List.of(new ReceivedDigest(digest, nowMs, true)), servers, nowMs);
        }
        assertTrue(slowness(8) > 1.3, "slow server: " + slowness(8));
    }

    /** Guards against taking long answers, long prompts or full batches for a slow engine. */
    @Test
    public void enginesAreComparedByTheWorkOfTheirRequests() {
        for (int i = 0; i < 3_000; i++, nowMs += 20) {
            int engine = i % SERVERS;
            long promptTokens = engine < 5 ? 500 : 4_000;
            int events = engine % 2 == 0 ? 10 : 40;
            int load = random.nextInt(6);
            double slowness = engine == 3 ? 2 : 1;
            long firstMs = (long) (slowness * (20 + promptTokens / 50.0));
            long wholeMs = (long) (firstMs + slowness * events * (5 + load));
            learner.recordEngineResponse(
                    server(engine), "r", load, new EngineTimes(promptTokens, events, firstMs, wholeMs), nowMs);
        }
        SpeedLearner.updateServiceMeans(servers.all(), nowMs);
        IntStream.range(0, SERVERS)
                .forEach(i -> assertEquals(slowness(i), i == 3 ? 2.0 : 1.0, i == 3 ? 0.5 : 0.15, "engine " + i));
    }
}
