package org.celerygw.core.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.TrackedServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetLoadEstimatorTest {
    private static final long NOW_MS = 1_000_000;

    private ServerList servers;
    private TrackedServer server;

    @BeforeMethod
    public void addServer() {
        servers = new ServerList(t -> {});
        servers.put(new BackendServer("s", "e", "127.0.0.1", 1, "z", "v1", 8, false, 1));
        server = servers.byId("s");
    }

    private static ReceivedDigest digest(int inFlight, boolean doubtful, long ageMs) {
        ServerLoad load = ServerLoad.newBuilder()
                .setServer("s")
                .setInFlight(inFlight)
                .setDoubtful(doubtful)
                .build();
        return new ReceivedDigest(
                Digest.newBuilder().setHost("h").addLoads(load).build(), NOW_MS - ageMs, false);
    }

    private void updateServers(List<ReceivedDigest> digests) {
        new FleetLoadEstimator(6, 400).updateServers(digests, servers, NOW_MS);
    }

    @Test
    public void sumsRequestsInFlightOfAllHostsInSmallFleet() {
        updateServers(List.of(digest(2, false, 100), digest(3, false, 900), digest(5, false, 60_000)));
        assertEquals(server.load(), 5);
    }

    @Test
    public void scalesSampleOfLargeFleet() {
        List<ReceivedDigest> digests =
                IntStream.range(0, 60).mapToObj(i -> digest(1, false, 100L * i)).toList();
        updateServers(digests);
        // 30 of the 60 digests are less than 3 s old, so their sum of 30 is doubled.
        assertEquals(server.load(), 60);
    }

    @Test
    public void digestsOfTheOwnGroupAreCountedInFullAndOnlyOthersScaled() {
        List<ReceivedDigest> digests = new ArrayList<>();
        IntStream.range(0, 8).forEach(i -> digests.add(sameGroup(digest(1, false, 10))));
        // Half of the 60 other hosts were heard within 3 s.
        IntStream.range(0, 60).forEach(i -> digests.add(digest(1, false, i < 30 ? 10 : 3_500)));
        updateServers(digests);
        assertEquals(server.load(), 8 + 60);
    }

    @Test
    public void loadFollowsEachChangeOfADigest() {
        FleetLoadEstimator estimator = new FleetLoadEstimator(6, 400);
        Digest two = digest(2, false, 0).digest();
        estimator.applyChange(null, two, true, servers);
        assertEquals(server.load(), 2);
        estimator.applyChange(two, digest(5, false, 0).digest(), true, servers);
        assertEquals(server.load(), 5);
        estimator.applyChange(digest(5, false, 0).digest(), Digest.getDefaultInstance(), true, servers);
        assertEquals(server.load(), 0);
    }

    private static ReceivedDigest sameGroup(ReceivedDigest received) {
        return new ReceivedDigest(received.digest(), received.receivedAtMs(), true);
    }

    /**
     * A server with a grey failure, which fails part of its requests, is avoided by all hosts once two of them report
     * it, so that the other hosts do not have to lose requests of their own first.
     */
    @Test
    public void failureReportsOfTwoHostsMarkServer() {
        updateServers(List.of(digest(0, true, 100), digest(0, false, 100)));
        assertFalse(server.hasHighFailureRate(NOW_MS));
        updateServers(List.of(digest(0, true, 100), digest(0, true, 100)));
        assertTrue(server.hasHighFailureRate(NOW_MS));
    }

    @Test
    public void reportsFailedServerWithoutRequestsInFlight() {
        assertEquals(FleetLoadEstimator.localLoads(servers, NOW_MS), List.of());
        IntStream.range(0, 4).forEach(i -> server.recordFailure(NOW_MS));
        ServerLoad own = FleetLoadEstimator.localLoads(servers, NOW_MS).get(0);
        assertEquals(own.getInFlight(), 0);
        assertTrue(own.getDoubtful());
    }
}
