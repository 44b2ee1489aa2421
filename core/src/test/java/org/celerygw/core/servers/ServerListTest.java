package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ServerListTest {
    private List<Tracked> removed;
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
        assertTrue(servers.of("s").isEmpty());
        assertEquals(removed.size(), 1);
    }

    @Test
    public void retainsEntryMissingAfterOutageUntilGracePeriodEnds() {
        servers.put(server("a", 1, false));
        servers.storeAway();
        servers.storeBack(1_000);
        servers.replace(List.of(), 1_000);
        servers.expire(1_000 + ServerList.OUTAGE_GRACE_MS - 1);
        assertEquals(servers.of("s").size(), 1);
        servers.expire(1_000 + ServerList.OUTAGE_GRACE_MS);
        assertTrue(servers.of("s").isEmpty());
    }

    @Test
    public void retainsStateOfEntryThatReturnsWithinGracePeriod() {
        servers.put(server("a", 1, false));
        Tracked before = servers.of("s").get(0);
        servers.storeAway();
        servers.storeBack(1_000);
        servers.replace(List.of(), 1_000);
        servers.put(server("a", 1, false));
        servers.expire(9_000);
        assertSame(servers.of("s").get(0), before);
    }

    @Test
    public void restartUnderSameIdIsAnotherIncarnation() {
        servers.put(server("a", 1, false));
        Tracked before = servers.of("s").get(0);
        servers.put(server("a", 2, false));
        assertTrue(before.hasLeft());
        assertEquals(removed, List.of(before));
        assertEquals(servers.of("s").size(), 1);
    }

    @Test
    public void drainingServerIsNotSelected() {
        servers.put(server("a", 1, false));
        servers.put(server("a", 1, true));
        assertFalse(servers.of("s").get(0).isUsable());
        assertTrue(new Chooser("z").plain(servers.of("s"), Set.of(), "x", 0).isEmpty());
    }

    @Test
    public void selectsSameEngineForSameProgramUntilItIsFull() {
        for (int i = 0; i < 9; i++) {
            servers.put(server("e" + i, 1, false));
        }
        Chooser selector = new Chooser("z");
        Tracked preferred =
                selector.engine(servers.of("s"), "program", "", Set.of(), 0).orElseThrow();
        assertSame(selector.engine(servers.of("s"), "program", "", Set.of(), 0).orElseThrow(), preferred);
        for (int i = 0; i < 40; i++) {
            preferred.begin();
        }
        assertFalse(selector.engine(servers.of("s"), "program", "", Set.of(), 0).orElseThrow() == preferred);
    }

    @Test
    public void pausesFailingServerAndTriesItAgain() {
        servers.put(server("a", 1, false));
        servers.put(server("b", 1, false));
        Tracked failing = servers.byId("a");
        failing.failed(1_000);
        Chooser selector = new Chooser("z");
        assertEquals(selector.plain(servers.of("s"), Set.of(), "x", 1_050).orElseThrow(), servers.byId("b"));
        assertFalse(failing.isPaused(1_101));
    }

    @Test
    public void failureRateDecaysOverTime() {
        servers.put(server("a", 1, false));
        Tracked failing = servers.byId("a");
        failing.answeredBadly(0);
        failing.answeredBadly(0);
        assertTrue(failing.hasHighFailureRate(0));
        assertFalse(failing.hasHighFailureRate(5_000));
        failing.setPeersReportFailures(true);
        assertTrue(failing.hasHighFailureRate(5_000));
        assertFalse(failing.hasHighLocalFailureRate(5_000));
    }

    private static BackendServer server(String id, long bornMs, boolean draining) {
        return new BackendServer(id, "s", "127.0.0.1", 80, "z", 8, draining, bornMs);
    }
}
