package org.celerygw.core.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.function.ToDoubleBiFunction;
import org.celerygw.core.scheduling.SimulatedHosts.Fleet;
import org.celerygw.core.scheduling.SimulatedHosts.Options;
import org.testng.annotations.Test;

/**
 * Load pattern: the demand of each zone differs from its mean, or its engines leave, while the fleet as a whole has room.
 * Guards against zones that queue while others are idle, and against hosts that all send to the same zone.
 */
public class ZoneSpilloverTest {
    private static final double DURATION_MS = 16_000;
    private static final double WAVE_MS = 8_000;
    private static final Options HOSTS_72 = new Options(72, 36, 8, true, true, 0);
    private static final ToDoubleBiFunction<Integer, Double> EQUAL = ZoneSpilloverTest::equal;
    private static final ToDoubleBiFunction<Integer, Double> WAVES = ZoneSpilloverTest::wave;

    private static double equal(int index, double nowMs) {
        return 1;
    }

    private static double wave(int zone, double nowMs) {
        return (1 + 0.5 * Math.sin(2 * Math.PI * (nowMs / WAVE_MS + zone / 4.0))) / 1.5;
    }

    /** Returns the share of programs in time without and with learned speeds and rooms. */
    private static double[] sharesInTime(
            String name,
            Options options,
            int zones,
            int hostZones,
            double utilization,
            ToDoubleBiFunction<Integer, Double> slowness,
            ToDoubleBiFunction<Integer, Double> demand) {
        double[] shares = new double[2];
        for (int i = 0; i < 2; i++) {
            SimulatedHosts hosts = new SimulatedHosts(options, new Fleet(zones, hostZones, slowness, demand, i == 1))
                    .run(utilization, DURATION_MS);
            shares[i] = hosts.shareInTime();
            System.out.printf(
                    "%s, %s: in time %.3f, busiest over mean %.2f, unused engines %d%n",
                    name, i == 0 ? "before" : "after", shares[i], hosts.busiestOverMean(), hosts.unusedEngines());
            assertEquals(i == 1 ? hosts.unusedEngines() : 0, 0, "unused engines");
        }
        return shares;
    }

    private static void assertHelps(String name, double[] shares, double gain) {
        assertTrue(shares[1] >= shares[0] + gain, name + ": " + shares[0] + " before, " + shares[1] + " after");
    }

    @Test
    public void wavesOutOfPhaseAreServedByOtherZones() {
        assertHelps("waves", sharesInTime("waves", HOSTS_72, 4, 4, 0.7, EQUAL, WAVES), 0.01);
    }

    @Test
    public void lateAndLostDigestsStillHelp() {
        Options lossy = new Options(72, 36, 8, true, true, 0.2);
        assertHelps("lost", sharesInTime("waves, a fifth of the digests lost", lossy, 4, 4, 0.7, EQUAL, WAVES), 0.01);
    }

    @Test
    public void clientsThatMoveToAnotherZoneAreServed() {
        ToDoubleBiFunction<Integer, Double> moved = (zone, nowMs) -> nowMs < 4_000 ? 0.5 : zone == 0 ? 1 : 0.33;
        assertHelps("moved", sharesInTime("half of the clients move", HOSTS_72, 4, 4, 0.6, EQUAL, moved), 0.01);
    }

    @Test
    public void zoneWhoseEnginesLeaveUsesOthers() {
        ToDoubleBiFunction<Integer, Double> leave =
                (engine, nowMs) -> engine % 4 == 0 && nowMs > 4_000 ? Double.POSITIVE_INFINITY : 1;
        assertHelps("left", sharesInTime("engines of a zone leave", HOSTS_72, 4, 4, 0.5, leave, EQUAL), -0.01);
    }

    @Test
    public void enginesOfZonesWithoutHostsAreUsed() {
        assertHelps("no hosts", sharesInTime("a zone without hosts", HOSTS_72, 4, 3, 0.7, EQUAL, EQUAL), 0.01);
    }

    @Test
    public void largeFleetOfElevenZonesHelps() {
        Options large = new Options(420, 110, 8, true, true, 0);
        assertHelps("420 hosts", sharesInTime("420 hosts", large, 11, 11, 0.7, EQUAL, WAVES), 0.01);
    }

    @Test
    public void unequalEngines() {
        ToDoubleBiFunction<Integer, Double> unequal = (engine, nowMs) -> new double[] {0.6, 1, 1.6}[engine % 3];
        assertHelps("unequal", sharesInTime("speeds 0.6, 1, 1.6", HOSTS_72, 4, 4, 0.6, unequal, EQUAL), 0.01);
    }
}
