package org.celerygw.core.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.Tracked;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FleetLoadTest {
    private static final long NOW_MS = 1_000_000;

    private ServerList servers;
    private Tracked server;

    @BeforeMethod
    public void oneServer() {
        servers = new ServerList(t -> {});
        servers.put(new BackendServer("s", "e", "127.0.0.1", 1, "z", 8, false, 1));
        server = servers.byId("s");
    }

    private static Told told(int inFlight, boolean doubtful, long agoMs) {
        ServerLoad load = ServerLoad.newBuilder()
                .setServer("s")
                .setInFlight(inFlight)
                .setDoubtful(doubtful)
                .build();
        return new Told(Digest.newBuilder().setHost("h").addLoads(load).build(), NOW_MS - agoMs);
    }

    private void count(List<Told> told) {
        new FleetLoad(6, 400).count(told, servers, NOW_MS);
    }

    @Test
    public void sumsWhatAllHostsOfASmallFleetHaveUnderWay() {
        count(List.of(told(2, false, 100), told(3, false, 900), told(5, false, 60_000)));
        assertEquals(server.load(), 5);
    }

    @Test
    public void scalesASampleOfALargeFleet() {
        List<Told> told =
                IntStream.range(0, 60).mapToObj(i -> told(1, false, 100L * i)).toList();
        count(told);
        // 30 of 60 were heard in the last 3 s.
        assertEquals(server.load(), 60);
    }

    /** Two hosts whose requests failed at a grey server spare the others from finding out for themselves. */
    @Test
    public void doubtsOfTwoHostsMakeAServerDoubtfulHere() {
        count(List.of(told(0, true, 100), told(0, false, 100)));
        assertFalse(server.doubtful(NOW_MS));
        count(List.of(told(0, true, 100), told(0, true, 100)));
        assertTrue(server.doubtful(NOW_MS));
    }

    @Test
    public void tellsOfAServerThatFailedThoughNothingIsUnderWayThere() {
        assertEquals(FleetLoad.own(servers, NOW_MS), List.of());
        IntStream.range(0, 4).forEach(i -> server.failed(NOW_MS));
        ServerLoad own = FleetLoad.own(servers, NOW_MS).get(0);
        assertEquals(own.getInFlight(), 0);
        assertTrue(own.getDoubtful());
    }
}
