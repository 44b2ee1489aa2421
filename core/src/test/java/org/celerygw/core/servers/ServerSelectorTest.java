package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServerSelectorTest {
    private static final long NOW_MS = 1_000_000;
    private static final int SLOTS = 4;

    private ServerList servers;
    private ServerSelector selector;

    @BeforeMethod
    public void addServers() {
        servers = new ServerList(s -> {});
        IntStream.range(0, 6).forEach(i -> put("a" + i, "a", false));
        IntStream.range(0, 3).forEach(i -> put("b" + i, "b", false));
        selector = new ServerSelector("a", server -> {});
    }

    private void put(String id, String zone, boolean draining) {
        servers.put(new BackendServer(id, "e", "127.0.0.1", 1, zone, "v1", SLOTS, draining, 1));
    }

    private List<TrackedServer> engines() {
        return servers.byService("e");
    }

    /** Returns the engines that 200 programs are sent to while all engines are idle. */
    private Set<String> selectedWhileIdle() {
        return IntStream.range(0, 200)
                .mapToObj(i -> selector.selectEngine(engines(), "program" + i, "", Set.of(), NOW_MS)
                        .orElseThrow()
                        .entry()
                        .id())
                .collect(Collectors.toSet());
    }

    @Test
    public void groupsOfAZoneDivideItsEngines() {
        Set<String> all = new HashSet<>();
        for (int group = 0; group < 3; group++) {
            selector.setGroup(group, 3);
            Set<String> selected = selectedWhileIdle();
            assertEquals(selected.size(), 2, "engines of group " + group + ": " + selected);
            assertTrue(all.addAll(selected) && all.size() == 2 * (group + 1), "groups share an engine: " + all);
        }
    }

    /** Guards against the failure that all requests of limited engines go to the few others of the same group or zone. */
    @Test
    public void requestsOfLimitedEnginesSpreadOverAllOthers() {
        Set<String> asked = new HashSet<>();
        selector = new ServerSelector("a", server -> asked.add(server.entry().id()));
        selector.setGroup(0, 3);
        List<String> limited = List.of("a0", "a2", "a3", "a4");
        limited.forEach(id -> limit(id).recordResponse(1, NOW_MS));
        Map<String, Long> counts = IntStream.range(0, 1_000)
                .mapToObj(i -> selector.selectEngine(engines(), "program" + i, "", Set.of(), NOW_MS)
                        .orElseThrow()
                        .entry()
                        .id())
                .collect(Collectors.groupingBy(id -> id, Collectors.counting()));
        assertEquals(asked, Set.of("a0"));
        assertEquals(counts.keySet(), Set.of("a1", "a5", "b0", "b1", "b2"));
        counts.forEach((id, count) -> assertTrue("a1".equals(id) || count < 150, id + " got " + count));
        assertEquals(selector.freeRoom(engines(), NOW_MS), (5 * (SLOTS + 1) * 2 + 8) / 9);
        limit("a0").grantPermit(NOW_MS, NOW_MS + 1);
        assertTrue(selectedWhileIdle().contains("a0"));
    }

    private RequestLimit limit(String id) {
        return Objects.requireNonNull(servers.byId(id)).limit();
    }

    @Test
    public void groupWhoseEnginesAreLeavingUsesAllOthers() {
        selector.setGroup(0, 3);
        selectedWhileIdle().forEach(id -> put(id, "a", true));
        assertEquals(selectedWhileIdle().size(), 7);
        assertEquals(selector.freeRoom(engines(), NOW_MS), 7 * (SLOTS + 1));
    }

    @Test
    public void zoneWithoutEnginesUsesThoseOfOtherZones() {
        selector = new ServerSelector("c", server -> {});
        selector.setGroup(1, 2);
        assertEquals(selectedWhileIdle().size(), 9);
    }

    @Test
    public void fullEnginesAreNotSelected() {
        engines().forEach(engine -> IntStream.range(0, SLOTS + 1).forEach(i -> engine.requestStarted()));
        assertTrue(selector.selectEngine(engines(), "p", "", Set.of(), NOW_MS).isEmpty());
        assertTrue(selector.hasUsableServer(engines(), Set.of(), NOW_MS));
        servers.byId("b1").requestEnded();
        assertEquals(
                selector.selectEngine(engines(), "p", "", Set.of(), NOW_MS)
                        .orElseThrow()
                        .entry()
                        .id(),
                "b1");
    }
}
