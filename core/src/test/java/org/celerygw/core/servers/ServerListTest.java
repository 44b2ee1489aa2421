package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ServerListTest {
    private List<TrackedServer> removed;
    private ServerList servers;

    @BeforeMethod
    public void createList() {
        removed = new ArrayList<>();
        servers = new ServerList(removed::add);
    }

    @Test
    public void removesMissingEntryImmediatelyWithoutOutage() {
        servers.put(server("a", 1, false));
        servers.remove("a", 10_000);
        assertTrue(servers.byService("s").isEmpty());
        assertEquals(removed.size(), 1);
    }

    @Test
    public void retainsEntryMissingAfterOutageUntilGracePeriodEnds() {
        servers.put(server("a", 1, false));
        servers.onStoreUnavailable();
        servers.onStoreAvailable(1_000);
        servers.replaceAll(List.of(), 1_000);
        servers.removeExpired(1_000 + ServerList.OUTAGE_GRACE_MS - 1);
        assertEquals(servers.byService("s").size(), 1);
        servers.removeExpired(1_000 + ServerList.OUTAGE_GRACE_MS);
        assertTrue(servers.byService("s").isEmpty());
    }

    @Test
    public void retainsStateOfEntryThatReturnsWithinGracePeriod() {
        servers.put(server("a", 1, false));
        TrackedServer before = servers.byService("s").get(0);
        servers.onStoreUnavailable();
        servers.onStoreAvailable(1_000);
        servers.replaceAll(List.of(), 1_000);
        servers.put(server("a", 1, false));
        servers.removeExpired(9_000);
        assertSame(servers.byService("s").get(0), before);
    }

    /** Guards against requests over a limit, or to a server that leaves, after its entry lapsed and returned. */
    @Test
    public void entryThatReturnsFindsWhatIsKnownOfItsIncarnation() {
        servers.put(server("a", 1, false));
        TrackedServer before = servers.byId("a");
        before.limit().recordResponse(3, 1_000);
        before.limit().grantPermit(1_000, 1_500);
        before.requestStarted();
        before.markLeaving();
        servers.remove("a", 2_000);
        assertTrue(before.hasLeft());
        assertSame(servers.knownById("a"), before);
        servers.replaceAll(List.of(server("a", 1, false)), 60_000);
        TrackedServer after = servers.byId("a");
        assertEquals(after.limit().perS(60_000), 3.0);
        assertFalse(after.limit().allowsRequest(60_000));
        assertEquals(after.inFlight(), 1);
        assertFalse(after.isUsable());
        assertFalse(after.hasLeft());
        assertEquals(servers.byService("s").size(), 1);
    }

    @Test
    public void entryThatReturnsAfterARestartFindsNothing() {
        servers.put(server("a", 1, false));
        servers.byId("a").markLeaving();
        servers.remove("a", 2_000);
        servers.put(server("a", 2, false));
        assertTrue(servers.byId("a").isUsable());
    }

    @Test
    public void whatIsKnownOfALapsedEntryIsForgottenInTheEnd() {
        servers.put(server("a", 1, false));
        servers.remove("a", 0);
        servers.removeExpired(LapsedServers.MAX_AGE_MS + 1);
        assertNull(servers.knownById("a"));
        for (int i = 0; i < 3_000; i++) {
            servers.put(server("b" + i, 1, false));
            servers.remove("b" + i, 1_000_000);
        }
        assertNull(servers.knownById("b0"));
        assertNotNull(servers.knownById("b2999"));
    }

    @Test
    public void restartUnderSameIdIsAnotherIncarnation() {
        servers.put(server("a", 1, false));
        TrackedServer before = servers.byService("s").get(0);
        servers.put(server("a", 2, false));
        assertTrue(before.hasLeft());
        assertEquals(removed, List.of(before));
        assertEquals(servers.byService("s").size(), 1);
    }

    @Test
    public void drainingServerIsNotSelected() {
        servers.put(server("a", 1, false));
        servers.put(server("a", 1, true));
        assertFalse(servers.byService("s").get(0).isUsable());
        assertTrue(new ServerSelector("z", server -> {})
                .selectServer(servers.byService("s"), Set.of(), "x", 0)
                .isEmpty());
    }

    @Test
    public void selectsSameEngineForSameProgramUntilItIsFull() {
        for (int i = 0; i < 9; i++) {
            servers.put(server("e" + i, 1, false));
        }
        ServerSelector selector = new ServerSelector("z", server -> {});
        TrackedServer preferred = selector.selectEngine(servers.byService("s"), "program", "", Set.of(), 0)
                .orElseThrow();
        assertSame(
                selector.selectEngine(servers.byService("s"), "program", "", Set.of(), 0)
                        .orElseThrow(),
                preferred);
        for (int i = 0; i < 40; i++) {
            preferred.requestStarted();
        }
        assertFalse(selector.selectEngine(servers.byService("s"), "program", "", Set.of(), 0)
                        .orElseThrow()
                == preferred);
    }

    @Test
    public void pausesFailingServerAndTriesItAgain() {
        servers.put(server("a", 1, false));
        servers.put(server("b", 1, false));
        TrackedServer failing = servers.byId("a");
        failing.recordFailure(1_000);
        ServerSelector selector = new ServerSelector("z", server -> {});
        assertEquals(
                selector.selectServer(servers.byService("s"), Set.of(), "x", 1_050)
                        .orElseThrow(),
                servers.byId("b"));
        assertFalse(failing.isPaused(1_101));
    }

    @Test
    public void failureRateDecaysOverTime() {
        servers.put(server("a", 1, false));
        TrackedServer failing = servers.byId("a");
        failing.recordErrorResponse(0);
        failing.recordErrorResponse(0);
        assertTrue(failing.hasHighFailureRate(0));
        assertFalse(failing.hasHighFailureRate(5_000));
        failing.setPeersReportFailures(true);
        assertTrue(failing.hasHighFailureRate(5_000));
        assertFalse(failing.hasHighLocalFailureRate(5_000));
    }

    private static BackendServer server(String id, long bornMs, boolean draining) {
        return new BackendServer(id, "s", "127.0.0.1", 80, "z", "v1", 8, draining, bornMs);
    }
}
