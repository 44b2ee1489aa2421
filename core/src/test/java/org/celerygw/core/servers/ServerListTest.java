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
    private List<Tracked> left;
    private ServerList list;

    @BeforeMethod
    public void start() {
        left = new ArrayList<>();
        list = new ServerList(left::add);
    }

    @Test
    public void goneEntryIsDroppedAtOnceWhileTheStoreIsCalm() {
        list.put(server("a", 1, false));
        list.remove("a", 10_000);
        assertTrue(list.of("s").isEmpty());
        assertEquals(left.size(), 1);
    }

    @Test
    public void entryMissingAfterAnOutageIsKeptUntilTheGraceHasPassed() {
        list.put(server("a", 1, false));
        list.storeAway();
        list.storeBack(1_000);
        list.replace(List.of(), 1_000);
        list.expire(1_000 + ServerList.RETURN_GRACE_MS - 1);
        assertEquals(list.of("s").size(), 1);
        list.expire(1_000 + ServerList.RETURN_GRACE_MS);
        assertTrue(list.of("s").isEmpty());
    }

    @Test
    public void entryThatComesBackWithinTheGraceKeepsItsState() {
        list.put(server("a", 1, false));
        Tracked before = list.of("s").get(0);
        list.storeAway();
        list.storeBack(1_000);
        list.replace(List.of(), 1_000);
        list.put(server("a", 1, false));
        list.expire(9_000);
        assertSame(list.of("s").get(0), before);
    }

    @Test
    public void startUnderTheSameIdIsAnotherIncarnation() {
        list.put(server("a", 1, false));
        Tracked before = list.of("s").get(0);
        list.put(server("a", 2, false));
        assertTrue(before.gone());
        assertEquals(left, List.of(before));
        assertEquals(list.of("s").size(), 1);
    }

    @Test
    public void drainingServerGetsNothingNew() {
        list.put(server("a", 1, false));
        list.put(server("a", 1, true));
        assertFalse(list.of("s").get(0).usable());
        assertTrue(new Chooser("z").plain(list.of("s"), Set.of(), "x", 0).isEmpty());
    }

    @Test
    public void sameProgramMeetsTheSameEngineUntilThatIsFull() {
        for (int i = 0; i < 9; i++) {
            list.put(server("e" + i, 1, false));
        }
        Chooser chooser = new Chooser("z");
        Tracked home = chooser.engine(list.of("s"), "program", "", Set.of(), 0).orElseThrow();
        assertSame(chooser.engine(list.of("s"), "program", "", Set.of(), 0).orElseThrow(), home);
        for (int i = 0; i < 40; i++) {
            home.begin();
        }
        assertFalse(chooser.engine(list.of("s"), "program", "", Set.of(), 0).orElseThrow() == home);
    }

    @Test
    public void failingServerRestsAndIsTriedAgain() {
        list.put(server("a", 1, false));
        list.put(server("b", 1, false));
        Tracked a = list.byId("a");
        a.failed(1_000);
        Chooser chooser = new Chooser("z");
        assertEquals(chooser.plain(list.of("s"), Set.of(), "x", 1_050).orElseThrow(), list.byId("b"));
        assertFalse(a.paused(1_101));
    }

    @Test
    public void failuresAreForgottenWithTime() {
        list.put(server("a", 1, false));
        Tracked a = list.byId("a");
        a.answeredBadly(0);
        a.answeredBadly(0);
        assertTrue(a.doubtful(0));
        assertFalse(a.doubtful(5_000));
        a.peersDoubt(true);
        assertTrue(a.doubtful(5_000));
        assertFalse(a.doubtfulHere(5_000));
    }

    private static BackendServer server(String id, long bornMs, boolean draining) {
        return new BackendServer(id, "s", "127.0.0.1", 80, "z", 8, draining, bornMs);
    }
}
