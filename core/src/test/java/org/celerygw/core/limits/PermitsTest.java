package org.celerygw.core.limits;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against the failure that a server gets far more requests than the limit that it has named, because each host
 * keeps to the limit by itself or not at all.
 */
public final class PermitsTest {
    private static final int FIRST_SEED = Integer.getInteger("celerygw.firstSeed", 1);
    private static final int SEEDS = Integer.getInteger("celerygw.seeds", 1);
    private static final double LIMIT_PER_S = 2.5;
    /** One and a half times what the limit allows in 4 s, and 5 requests. */
    private static final int MAX_IN_WINDOW = (int) (1.5 * 4 * LIMIT_PER_S + 5);

    private static final int SERVERS = 9;
    private static final long SETTLED_MS = 10_000;
    private static final long END_MS = 60_000;
    /** A disturbed host does not count until this long afterwards. */
    private static final long EXCUSED_MS = 3_000;

    @DataProvider
    public static Object[][] fleets() {
        return IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .boxed()
                .flatMap(seed -> IntStream.of(1, 10, 95).mapToObj(hosts -> new Object[] {hosts, (long) seed}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "fleets")
    public void calmHostsUseHalfOfALimitAndKeepToIt(int hosts, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(hosts, SERVERS, LIMIT_PER_S, seed);
        fleet.runUntil(END_MS);
        assertKept(fleet);
        assertServed(fleet, SETTLED_MS, END_MS);
    }

    @Test(dataProvider = "fleets")
    public void limitIsKeptWhileHostsRestartInTurn(int hosts, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(hosts, SERVERS, LIMIT_PER_S, seed);
        for (int i = 0; i < 10; i++) {
            SimulatedFleet.Host host = fleet.hosts.get(fleet.random.nextInt(hosts));
            boolean planned = i % 2 == 0;
            fleet.at(SETTLED_MS + 4_500L * i, () -> {
                host.excuse((planned ? 3_000 : 0) + 400 + EXCUSED_MS);
                if (planned) {
                    host.stop();
                } else {
                    host.kill();
                }
            });
            fleet.at(SETTLED_MS + 4_500L * i + (planned ? 3_400 : 400), host::start);
        }
        fleet.runUntil(END_MS);
        assertKept(fleet);
        if (hosts > 1) {
            assertServed(fleet, SETTLED_MS, END_MS);
        }
    }

    @Test(dataProvider = "fleets")
    public void limitIsKeptWhileHostsFreezeOrAreCutOff(int hosts, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(hosts, SERVERS, LIMIT_PER_S, seed);
        for (int i = 0; i < 8; i++) {
            SimulatedFleet.Host host = fleet.hosts.get(fleet.random.nextInt(hosts));
            long durationMs = 500L + fleet.random.nextInt(5_000);
            boolean freezes = i % 2 == 0;
            fleet.at(SETTLED_MS + 6_000L * i, () -> {
                host.excuse(durationMs + EXCUSED_MS);
                if (freezes) {
                    host.freeze(durationMs);
                } else {
                    host.cut(true);
                }
            });
            fleet.at(SETTLED_MS + 6_000L * i + durationMs, () -> host.cut(false));
        }
        fleet.runUntil(END_MS);
        assertKept(fleet);
    }

    @Test(dataProvider = "fleets")
    public void limitIsKeptAfterAllHostsDiedAtOnce(int hosts, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(hosts, SERVERS, LIMIT_PER_S, seed);
        fleet.at(SETTLED_MS, () -> List.copyOf(fleet.hosts).forEach(host -> {
            host.excuse(400 + EXCUSED_MS);
            host.kill();
        }));
        fleet.at(SETTLED_MS + 400, () -> fleet.hosts.forEach(SimulatedFleet.Host::start));
        fleet.runUntil(END_MS);
        assertKept(fleet);
        assertServed(fleet, 2 * SETTLED_MS, END_MS);
    }

    private static void assertKept(SimulatedFleet fleet) {
        int most = fleet.mostInWindow(EXCUSED_MS);
        assertTrue(most <= MAX_IN_WINDOW, most + " requests in 4 s, at most " + MAX_IN_WINDOW + " allowed");
    }

    private static void assertServed(SimulatedFleet fleet, long fromMs, long toMs) {
        long arrivals = fleet.arrivals(fromMs, toMs);
        double allowed = SERVERS * LIMIT_PER_S * (toMs - fromMs) / 1_000;
        assertTrue(arrivals >= allowed / 2, arrivals + " requests, " + allowed + " allowed");
    }
}
