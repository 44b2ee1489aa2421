package org.celerygw.core.peers;

import static org.testng.Assert.assertEquals;

import java.util.stream.IntStream;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against hosts that tell each other of changes too late when engines are nearly full, or of all when they are not. */
public final class ChangeDelayTest {
    private static final int SLOTS = 8;

    private ServerList servers;

    @BeforeMethod
    public void addServer() {
        servers = new ServerList(server -> {});
        servers.put(new BackendServer("s", "e", "127.0.0.1", 1, "z", "v1", SLOTS, false, 1));
    }

    private void start(int requests) {
        IntStream.range(0, requests).forEach(i -> servers.byId("s").requestStarted());
    }

    @Test
    public void changesInSmallFleetsAreUrgent() {
        assertEquals(ChangeDelay.delayMs(1, () -> false, servers), ChangeDelay.URGENT_MS);
    }

    @Test
    public void changesOfLargeFleetWaitWhileEnginesHaveRoom() {
        start(SLOTS / 2);
        assertEquals(ChangeDelay.delayMs(3, () -> false, servers), ChangeDelay.RELAXED_MS);
    }

    @Test
    public void changesAreUrgentWhileRequestsWaitOrAnEngineIsNearlyFull() {
        assertEquals(ChangeDelay.delayMs(3, () -> true, servers), ChangeDelay.URGENT_MS);
        start(SLOTS - 2);
        assertEquals(ChangeDelay.delayMs(3, () -> false, servers), ChangeDelay.URGENT_MS);
    }
}
