package org.celerygw.core.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.core.gen.peers.ServerLoad;
import org.celerygw.core.peers.FleetLoadEstimator;
import org.celerygw.core.peers.ReceivedDigest;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.TrackedServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EngineMemoryTest {
    private static final long NOW_MS = 1_000_000;
    private static final int MEMORY_TOKENS = 1_000;

    private final List<String> started = new ArrayList<>();
    private final Map<String, Long> refused = new HashMap<>();
    private ServerList servers;
    private TrackedServer engine;
    private EngineQueue queue;

    @BeforeMethod
    public void createQueue() {
        started.clear();
        refused.clear();
        servers = new ServerList(s -> {});
        servers.put(new BackendServer("i1", "e", "127.0.0.1", 1, "z", "v1", 16, false, 1));
        engine = servers.byId("i1");
        ServerSelector selector = new ServerSelector("z", server -> {});
        selector.setMemory(service -> MEMORY_TOKENS);
        queue = new EngineQueue(servers, selector, service -> QueueLength.NONE, () -> 0.5);
    }

    private void offer(String name, long tokens, long deadlineMs) {
        EngineRequest request = new EngineRequest(
                "e", "", name, name, "", Set.of(), true, 0, NOW_MS + 2_500, deadlineMs, Optional.empty(), tokens);
        EngineQueue.Waiter waiter = new EngineQueue.Waiter() {
            @Override
            public void start(TrackedServer server) {
                server.requestStarted(tokens);
                started.add(name);
            }

            @Override
            public void refuse(String reason, long retryAfterMs) {
                refused.put(name, retryAfterMs);
            }
        };
        queue.offer(request, waiter, NOW_MS);
    }

    private void tell(String peer, int inFlight, long tokens, long receivedAtMs, long nowMs) {
        Digest digest = Digest.newBuilder()
                .setHost(peer)
                .addLoads(ServerLoad.newBuilder()
                        .setServer("i1")
                        .setInFlight(inFlight)
                        .setTokens(tokens))
                .build();
        new FleetLoadEstimator(6, 400)
                .updateServers(List.of(new ReceivedDigest(digest, receivedAtMs, true)), servers, nowMs);
    }

    /** Guards against an engine that crashes because its free slots were filled regardless of its memory. */
    @Test
    public void requestWaitsForMemoryThoughSlotsAreFree() {
        offer("one", 600, NOW_MS + 5_000);
        offer("two", 600, NOW_MS + 5_000);
        assertEquals(started, List.of("one"));
        assertEquals(engine.tokensInFlight(), 600);
        engine.requestEnded(600);
        queue.poll(NOW_MS + 10);
        assertEquals(started, List.of("one", "two"));
    }

    /** Guards against a client that comes back again and again with a request that no engine can hold. */
    @Test
    public void requestLargerThanAnEngineIsRefusedAtOnceWithNothingToWaitFor() {
        offer("large", MEMORY_TOKENS + 1, NOW_MS + 5_000);
        offer("fits", MEMORY_TOKENS, NOW_MS + 5_000);
        assertEquals(refused, Map.of("large", 0L));
        assertEquals(started, List.of("fits"));
    }

    /** Guards against a large prompt that waits until its deadline while small ones take all memory that gets free. */
    @Test
    public void smallRequestsDoNotPassALargeOneThatWaitsForMemory() {
        offer("running", 600, NOW_MS + 5_000);
        offer("large", 900, NOW_MS + 5_000);
        offer("small", 100, NOW_MS + 6_000);
        queue.poll(NOW_MS + 10);
        assertEquals(started, List.of("running"));
        engine.requestEnded(600);
        queue.poll(NOW_MS + 20);
        assertEquals(started, List.of("running", "large", "small"));
    }

    /** Guards against hosts that together exceed the memory that each of them believes to be free. */
    @Test
    public void memoryOfPeersCountsWithAMarginAndThatOfHostsThatTellNoSizeByTheirSlots() {
        tell("h2", 4, 600, NOW_MS, NOW_MS);
        assertEquals(engine.tokensInFlight(), 600);
        assertTrue(engine.hasMemory(100, MEMORY_TOKENS));
        assertFalse(engine.hasMemory(101, MEMORY_TOKENS));
        tell("h2", 8, 0, NOW_MS, NOW_MS);
        assertTrue(engine.hasMemory(500, MEMORY_TOKENS));
        assertFalse(engine.hasMemory(501, MEMORY_TOKENS));
    }

    /** Guards against a host whose links to all peers are cut, and which takes the whole memory for free. */
    @Test
    public void hostThatHearsOfNoPeerKeepsToItsPartOfTheMemory() {
        tell("h2", 4, 800, NOW_MS - 5_000, NOW_MS);
        assertTrue(engine.hasMemory(900, MEMORY_TOKENS), "one request always");
        engine.requestStarted(300);
        assertTrue(engine.hasMemory(200, MEMORY_TOKENS));
        assertFalse(engine.hasMemory(201, MEMORY_TOKENS));
        tell("h2", 4, 800, NOW_MS - 60_000, NOW_MS);
        assertTrue(engine.hasMemory(700, MEMORY_TOKENS));
    }
}
