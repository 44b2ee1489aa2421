package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ReachabilityTest {
    private static final long NOW_MS = 1_000_000;
    private static final long TIMEOUT_MS = 400;
    private static final int SERVERS = 5;

    private Reachability reachability;
    private List<TrackedServer> servers;

    @BeforeMethod
    public void start() {
        reachability = new Reachability();
        ServerList list = new ServerList(s -> {});
        IntStream.range(0, SERVERS)
                .forEach(i -> list.put(new BackendServer("s" + i, "s", "10.0.0.1", i, "z", "v1", 8, false, 1)));
        servers = list.byService("s");
    }

    @Test
    public void hostIsCutOffWhenSeveralServersFailInARow() {
        assertFalse(timeOut(0));
        assertFalse(timeOut(0));
        assertFalse(timeOut(1));
        assertTrue(timeOut(2));
        assertTrue(reachability.isCutOff());
        assertTrue(reachability.prefersPeers(servers.get(4), NOW_MS));
        assertFalse(timeOut(3), "begins only once");
        assertTrue(reachability.onReached(servers.get(4), NOW_MS));
        assertFalse(reachability.prefersPeers(servers.get(0), NOW_MS));
    }

    /** Guards against servers that are down, or one that is, being taken for lost links of the host. */
    @Test
    public void hostIsNotCutOffWhileAnyServerAnswers() {
        for (int i = 0; i < 20; i++) {
            timeOut(i % 3);
            timeOut((i + 1) % 3);
            reachability.onReached(servers.get(4), NOW_MS);
            assertFalse(reachability.isCutOff());
        }
    }

    @Test
    public void hostWithFewServersIsCutOffWhenAllFail() {
        assertFalse(reachability.onConnectFailed(servers.get(0), TIMEOUT_MS, 2, NOW_MS));
        assertTrue(reachability.onConnectFailed(servers.get(1), TIMEOUT_MS, 2, NOW_MS));
    }

    @Test
    public void serverThatRefusesIsReachedThroughPeersForAWhile() {
        reachability.onConnectFailed(servers.get(0), 2, SERVERS, NOW_MS);
        assertTrue(reachability.prefersPeers(servers.get(0), NOW_MS + 900));
        assertFalse(reachability.prefersPeers(servers.get(1), NOW_MS + 900));
        assertFalse(reachability.prefersPeers(servers.get(0), NOW_MS + 1_100));
    }

    /** Guards against requests that wait for one peer after the other because their server is down. */
    @Test
    public void serverThatPeersDoNotReachEitherIsNotSentThroughThem() {
        reachability.onConnectFailed(servers.get(0), 2, SERVERS, NOW_MS);
        reachability.onPeerFailed(servers.get(0), NOW_MS + 10);
        assertFalse(reachability.prefersPeers(servers.get(0), NOW_MS + 20));
    }

    @Test
    public void serverThatTimesOutAloneIsNotSentThroughPeers() {
        timeOut(0);
        assertFalse(reachability.prefersPeers(servers.get(0), NOW_MS + 10));
    }

    /** Guards against a host that notices only request by request that its open connections have gone silent. */
    @Test
    public void serversAreProbedWhenRequestsAreInFlightAndNothingArrives() {
        assertEquals(reachability.serversToProbe(NOW_MS), 0);
        reachability.onSend(NOW_MS);
        assertEquals(reachability.serversToProbe(NOW_MS + 500), 0);
        assertEquals(reachability.serversToProbe(NOW_MS + 700), 1);
        assertEquals(reachability.serversToProbe(NOW_MS + 800), 0, "not all the time");
        reachability.onConnectFailed(servers.get(0), TIMEOUT_MS, SERVERS, NOW_MS + 1_100);
        assertEquals(reachability.serversToProbe(NOW_MS + 1_300), 3);
        reachability.onEnd();
        assertEquals(reachability.serversToProbe(NOW_MS + 2_000), 0);
    }

    @Test
    public void arrivingBytesPutOffTheProbe() {
        reachability.onSend(NOW_MS);
        reachability.onReached(servers.get(0), NOW_MS + 500);
        assertEquals(reachability.serversToProbe(NOW_MS + 1_000), 0);
    }

    @Test
    public void oneServerAtATimeIsProbedWhileCutOff() {
        IntStream.range(0, 3).forEach(this::timeOut);
        assertEquals(reachability.serversToProbe(NOW_MS), 1);
        assertEquals(reachability.serversToProbe(NOW_MS + 400), 0);
        assertEquals(reachability.serversToProbe(NOW_MS + 600), 1);
    }

    private boolean timeOut(int server) {
        return reachability.onConnectFailed(servers.get(server), TIMEOUT_MS, SERVERS, NOW_MS);
    }
}
