package org.celerygw.core.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.TrackedServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineQueueTest {
    private static final long NOW_MS = 1_000_000;
    private static final long MAX_WAIT_MS = 2_500;
    /** The slots of the engine, and one request that waits in the engine for the next free slot. */
    private static final int ROOM = 3;

    private final List<String> started = new ArrayList<>();
    private final Map<String, Long> refused = new HashMap<>();
    private ServerList servers;
    private TrackedServer engine;
    private EngineQueue queue;
    private QueueLength peersWaiting;

    @BeforeMethod
    public void createQueue() {
        started.clear();
        refused.clear();
        peersWaiting = QueueLength.NONE;
        servers = new ServerList(s -> {});
        servers.put(new BackendServer("i1", "e", "127.0.0.1", 1, "z", "v1", ROOM - 1, false, 1));
        engine = servers.byId("i1");
        queue = new EngineQueue(servers, new ServerSelector("z", server -> {}), service -> peersWaiting, () -> 0.5);
    }

    private final class Waiter implements EngineQueue.Waiter {
        final String name;

        Waiter(String name) {
            this.name = name;
        }

        @Override
        public void start(TrackedServer server) {
            server.requestStarted();
            started.add(name);
        }

        @Override
        public void refuse(String reason, long retryAfterMs) {
            refused.put(name, retryAfterMs);
        }
    }

    private Waiter offer(String program, boolean continuesTurn, int rank, long programLeftMs) {
        return offer(program, "", continuesTurn, rank, programLeftMs);
    }

    private Waiter offer(String program, String version, boolean continuesTurn, int rank, long programLeftMs) {
        EngineRequest request = new EngineRequest(
                "e",
                version,
                program,
                program,
                "",
                Set.of(),
                continuesTurn,
                rank,
                NOW_MS + MAX_WAIT_MS,
                NOW_MS + programLeftMs,
                Optional.empty(),
                0);
        Waiter waiter = new Waiter(program);
        queue.offer(request, waiter, NOW_MS);
        return waiter;
    }

    private void fillEngine() {
        IntStream.range(0, ROOM).forEach(i -> offer("running" + i, true, 0, 5_000));
        started.clear();
    }

    private void endOneRequest(long nowMs) {
        engine.requestEnded();
        queue.poll(nowMs);
    }

    @Test
    public void startsAtOnceWhileAnEngineHasRoomAndQueuesAfterwards() {
        IntStream.range(0, ROOM + 2).forEach(i -> offer("p" + i, false, 0, 5_000));
        assertEquals(started, List.of("p0", "p1", "p2"));
        assertEquals(queue.waitingByService(), Map.of("e", new QueueLength(0, 2)));
        endOneRequest(NOW_MS + 10);
        assertEquals(started, List.of("p0", "p1", "p2", "p4"), "the newest program first");
    }

    @Test
    public void programsUnderWayStartBeforeNewOnesThenByRankAndDeadline() {
        fillEngine();
        offer("new", false, 0, 1_000);
        offer("underWayLowRank", true, 1, 1_000);
        offer("underWayLater", true, 0, 3_000);
        offer("underWaySooner", true, 0, 2_000);
        IntStream.range(0, 4).forEach(i -> endOneRequest(NOW_MS + 10));
        assertEquals(started, List.of("underWaySooner", "underWayLater", "underWayLowRank", "new"));
    }

    @Test
    public void laterTurnOfAStartedProgramIsUnderWayWithoutAPreviousTurn() {
        offer("p", false, 1, 5_000);
        IntStream.range(1, ROOM).forEach(i -> offer("running" + i, true, 0, 5_000));
        offer("new", false, 1, 1_000);
        offer("p", false, 1, 5_000);
        started.clear();
        endOneRequest(NOW_MS + 10);
        assertEquals(started, List.of("p"));
    }

    @Test
    public void newProgramWaitsAsLongAsItCanBeAnsweredInTimeAndIsThenRefused() {
        fillEngine();
        offer("new", false, 0, 5_000);
        queue.poll(NOW_MS + MAX_WAIT_MS);
        assertEquals(refused, Map.of());
        queue.poll(NOW_MS + MAX_WAIT_MS + 1);
        assertTrue(refused.get("new") >= 100, "retry after " + refused);
        endOneRequest(NOW_MS + MAX_WAIT_MS + 100);
        assertEquals(started, List.of());
    }

    @Test
    public void programThatAnotherHostHasStartedIsUnderWay() {
        EngineQueue own = queue;
        queue = new EngineQueue(servers, new ServerSelector("z", server -> {}), service -> QueueLength.NONE, () -> 0.5);
        offer("p", false, 0, 1_000);
        List<Integer> startedElsewhere = queue.recentlyStarted(NOW_MS + 900);
        assertEquals(queue.recentlyStarted(NOW_MS + 1_100), List.of());
        engine.requestEnded();
        queue = own;
        queue.startedElsewhere(startedElsewhere);
        fillEngine();
        offer("p", false, 0, 1_000);
        offer("new", false, 0, 1_000);
        endOneRequest(NOW_MS + 10);
        assertEquals(started, List.of("p"));
    }

    @Test
    public void requestThatCannotStartBeforeItsDeadlineIsRefusedAtOnce() {
        fillEngine();
        queue.recordServiceTime("e", 1_000_000);
        offer("p", true, 0, 5_000);
        assertEquals(refused.keySet(), Set.of("p"));
    }

    @Test
    public void retryAfterGrowsWithTheExpectedWait() {
        fillEngine();
        queue.recordServiceTime("e", 20_000);
        offer("one", true, 0, 5_000);
        queue.recordServiceTime("e", 2_000_000);
        offer("other", true, 0, 5_000);
        assertTrue(refused.get("other") > 5 * refused.get("one"), "retry after " + refused);
    }

    @Test
    public void programPastItsDeadlineComesWithNewOnesAndTheNewestOfThemFirst() {
        fillEngine();
        offer("newLate", false, 0, 0);
        offer("underWayLate", true, 0, 0);
        offer("new", false, 0, 1_000);
        offer("underWay", true, 0, 1_000);
        IntStream.range(0, 4).forEach(i -> endOneRequest(NOW_MS + 10));
        assertEquals(started, List.of("underWay", "new", "underWayLate", "newLate"));
    }

    @Test
    public void newProgramDoesNotPassThoseThatWaitAtOtherHosts() {
        peersWaiting = new QueueLength(0, 9);
        offer("new", false, 0, 5_000);
        assertEquals(started, List.of());
        offer("underWay", true, 0, 5_000);
        assertEquals(started, List.of("underWay"));
    }

    @Test
    public void newProgramWaitsWhileProgramsUnderWayWaitAtOtherHosts() {
        fillEngine();
        offer("new", false, 0, 5_000);
        peersWaiting = new QueueLength(1, 0);
        endOneRequest(NOW_MS + 10);
        assertEquals(started, List.of());
        peersWaiting = QueueLength.NONE;
        queue.poll(NOW_MS + 20);
        assertEquals(started, List.of("new"));
    }

    @Test
    public void hostStartsOnlyItsShareOfTheFreeRoom() {
        fillEngine();
        IntStream.range(0, 4).forEach(i -> offer("p" + i, true, 0, 5_000));
        peersWaiting = new QueueLength(4, 0);
        engine.requestEnded();
        engine.requestEnded();
        queue.poll(NOW_MS + 10);
        assertEquals(started, List.of("p0"));
    }

    @Test
    public void refusesWhenNoEngineIsUsable() {
        servers.remove("i1", NOW_MS);
        offer("p", true, 0, 5_000);
        assertEquals(refused.keySet(), Set.of("p"));
    }

    @Test
    public void removedRequestNeverStarts() {
        fillEngine();
        queue.remove(offer("p", true, 0, 5_000));
        endOneRequest(NOW_MS + 10);
        assertEquals(started, List.of());
        assertEquals(refused, Map.of());
    }

    /** Guards against a resumed stream that is started at an engine of another version, or holds up requests that can. */
    @Test
    public void requestForOneVersionWaitsForAnEngineOfItAndHoldsUpNoOther() {
        fillEngine();
        servers.put(new BackendServer("i2", "e", "127.0.0.1", 2, "z", "v2", ROOM - 1, false, 1));
        offer("resumed", "v1", true, 0, 5_000);
        assertEquals(started, List.of());
        offer("other", "", true, 0, 6_000);
        queue.poll(NOW_MS + 5);
        assertEquals(started, List.of("other"));
        endOneRequest(NOW_MS + 10);
        assertEquals(started, List.of("other", "resumed"));
        assertEquals(engine.inFlight(), ROOM);
    }

    @Test
    public void requestForAVersionWithoutEnginesIsRefusedAtOnceWithNothingToWaitFor() {
        offer("resumed", "v0", true, 0, 5_000);
        assertEquals(refused, Map.of("resumed", 0L));
    }
}
