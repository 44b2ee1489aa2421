package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Guards against changed choices in deployments whose servers are equally fast. The checksums are of decisions that were
 * recorded before speeds were learned, over random fleets with one group of hosts or several, where no group lacks room.
 */
public class RecordedDecisionsTest {
    private static final long NOW_MS = 1_000_000;
    private static final int SLOTS = 8;
    private static final int FLEETS = 300;
    private static final int REQUESTS = 15;

    private final Random random = new Random(7);

    @Test
    public void equallyFastEnginesOfOneGroupAreChosenAsRecorded() {
        assertEquals(engineDecisions(1, 2 * SLOTS), "3eaa30319d2be336964865e70e2d1c2c");
    }

    @Test
    public void equallyFastEnginesOfSeveralGroupsAreChosenAsRecorded() {
        assertEquals(engineDecisions(3, SLOTS / 2), "9da102cb830cbe1a8cd2b2cd2c37c593");
    }

    @Test
    public void equallyFastPlainServersAreChosenAsRecorded() {
        random.setSeed(8);
        Hasher decisions = Hashing.murmur3_128().newHasher();
        for (int fleet = 0; fleet < FLEETS; fleet++) {
            ServerSelector selector = new ServerSelector("z1", server -> {});
            List<TrackedServer> servers = randomServers(2 * SLOTS);
            for (int i = 0; i < REQUESTS; i++) {
                add(
                        decisions,
                        selector.selectServer(
                                servers, Set.of("s" + random.nextInt(40)), "key" + random.nextInt(50), NOW_MS + i));
            }
        }
        assertEquals(decisions.hash().toString(), "f915c65c21f1169ab11c4c863bbf1303");
    }

    private String engineDecisions(int groups, double maxLoad) {
        random.setSeed(groups);
        Hasher decisions = Hashing.murmur3_128().newHasher();
        for (int fleet = 0; fleet < FLEETS; fleet++) {
            ServerSelector selector = new ServerSelector("z1", server -> {});
            selector.setGroup(random.nextInt(groups), groups);
            List<TrackedServer> servers = randomServers(maxLoad);
            for (int i = 0; i < REQUESTS; i++) {
                add(
                        decisions,
                        selector.selectEngine(
                                servers,
                                "program" + random.nextInt(50),
                                "s" + random.nextInt(80),
                                Set.of("s" + random.nextInt(40)),
                                NOW_MS + i));
            }
        }
        return decisions.hash().toString();
    }

    private List<TrackedServer> randomServers(double maxLoad) {
        ServerList servers = new ServerList(server -> {});
        int zones = 1 + random.nextInt(4);
        double loadBound = maxLoad * random.nextDouble();
        IntStream.range(0, 3 + random.nextInt(30)).forEach(i -> {
            servers.put(new BackendServer(
                    "s" + i, "e", "127.0.0.1", 1, "z" + i % zones, "v1", SLOTS, random.nextInt(20) == 0, 1));
            TrackedServer server = servers.byService("e").stream()
                    .filter(s -> s.entry().id().equals("s" + i))
                    .findFirst()
                    .orElseThrow();
            server.setPeersLoad(new PeersLoad(loadBound * random.nextDouble(), 0, 0, 0), 0);
            if (random.nextInt(30) == 0) {
                server.limit().recordResponse(1, NOW_MS);
            }
        });
        return servers.byService("e");
    }

    /** Adds the choice to the checksum, and the request to the load of the server. */
    private void add(Hasher decisions, Optional<TrackedServer> choice) {
        decisions.putString(choice.map(server -> server.entry().id()).orElse("none"), StandardCharsets.UTF_8);
        choice.filter(server -> random.nextInt(3) > 0).ifPresent(TrackedServer::requestStarted);
    }
}
