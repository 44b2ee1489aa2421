package org.celerygw.standin.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.membership.MemberChange;
import org.testng.annotations.Test;

/** Tests the membership protocol with many daemons in simulated time. */
public final class SimulatedFleetTest {
    @Test
    public void nodesStartedTogetherConverge() {
        SimulatedFleet fleet = new SimulatedFleet(1, 3);
        fleet.startNodes(100);
        long tookMs = fleet.runUntil(fleet::hasConverged, 60_000);

        assertTrue(tookMs >= 0);
    }

    @Test
    public void killedNodeIsDeclaredDeadByAll() {
        SimulatedFleet fleet = convergedFleet(2, 100);
        SimulatedNode victim = fleet.nodes().get(17);
        fleet.kill(victim);
        long tookMs = fleet.runUntil(fleet::hasConverged, 60_000);

        assertTrue(tookMs >= 0 && tookMs <= 20_000);
        assertEquals(falseDeaths(fleet), List.of());
    }

    @Test
    public void leavingNodeIsRemovedWithinFiveSeconds() {
        SimulatedFleet fleet = convergedFleet(3, 100);
        fleet.leave(fleet.nodes().get(5));
        long tookMs = fleet.runUntil(fleet::hasConverged, 60_000);

        assertTrue(tookMs >= 0 && tookMs <= 5000);
    }

    @Test
    public void restartAtSameAddressReplacesOldIncarnation() {
        SimulatedFleet fleet = convergedFleet(4, 100);
        fleet.restart(fleet.nodes().get(5));
        long tookMs = fleet.runUntil(fleet::hasConverged, 60_000);

        assertTrue(tookMs >= 0);
    }

    @Test
    public void nodePausedForThirtySecondsRejoinsAndDeclaresNobodyDead() {
        SimulatedFleet fleet = convergedFleet(5, 100);
        SimulatedNode paused = fleet.nodes().get(40);
        fleet.pause(paused, 30_000);
        fleet.runForMs(31_000);
        long tookMs = fleet.runUntil(fleet::hasConverged, 60_000);

        assertTrue(tookMs >= 0);
        assertTrue(fleet.memberChanges().stream()
                .noneMatch(o -> o.observer() == paused && o.change().kind() == MemberChange.Kind.DEAD));
    }

    @Test
    public void partitionedZonesConvergeAfterReconnection() {
        SimulatedFleet fleet = convergedFleet(6, 60);
        fleet.blockPaths((a, b) -> (a.zone() == 0) != (b.zone() == 0));
        fleet.runForMs(120_000);
        assertEquals(fleet.nodes().get(0).membership().members().size(), 20);
        fleet.blockPaths((a, b) -> false);
        long tookMs = fleet.runUntil(fleet::hasConverged, 120_000);

        assertTrue(tookMs >= 0);
    }

    @Test
    public void nodeThatReceivesNothingCausesNoFalseDeathsOfOthers() {
        SimulatedFleet fleet = convergedFleet(7, 60);
        SimulatedNode isolated = fleet.nodes().get(9);
        fleet.blockPaths((a, b) -> b == isolated);
        fleet.runForMs(60_000);
        assertTrue(fleet.memberChanges().stream()
                .noneMatch(o -> o.observer() != isolated
                        && o.change().kind() == MemberChange.Kind.DEAD
                        && !o.change().member().host().equals(isolated.hostId())));
        fleet.blockPaths((a, b) -> false);
        assertTrue(fleet.runUntil(fleet::hasConverged, 120_000) >= 0);
    }

    @Test
    public void leavingMarkReachesAllAndIsNotUndoneByOlderFacts() {
        SimulatedFleet fleet = convergedFleet(8, 100);
        BackendServerId engine = new BackendServerId("engine-1");
        fleet.nodes().get(0).membership().markServerLeaving(engine, 5);
        fleet.nodes().get(1).membership().markServerStaying(engine, 4);
        fleet.nodes().get(2).membership().markServerStaying(engine, 5);
        long tookMs = fleet.runUntil(
                () -> fleet.runningNodes().allMatch(n -> n.membership().isServerLeaving(engine)), 20_000);

        assertTrue(tookMs >= 0 && tookMs <= 5000);
        fleet.runForMs(30_000);
        assertTrue(fleet.runningNodes().allMatch(n -> n.membership().isServerLeaving(engine)));
    }

    @Test
    public void configVersionReachesAllWithBoundedTraffic() {
        SimulatedFleet fleet = convergedFleet(9, 200);
        fleet.nodes().get(0).membership().announceConfig(7);
        long tookMs = fleet.runUntil(
                () -> fleet.runningNodes().allMatch(n -> n.membership().configVersion() == 7), 20_000);

        assertTrue(tookMs >= 0 && tookMs <= 2000);
        long bytesBefore =
                fleet.runningNodes().mapToLong(SimulatedNode::totalBytes).sum();
        fleet.runForMs(60_000);
        long bytesPerNodePerS =
                (fleet.runningNodes().mapToLong(SimulatedNode::totalBytes).sum() - bytesBefore) / 200 / 60;

        assertTrue(bytesPerNodePerS <= 3000, "bytes per node and second: " + bytesPerNodePerS);
    }

    private static SimulatedFleet convergedFleet(long seed, int count) {
        SimulatedFleet fleet = new SimulatedFleet(seed, 3);
        fleet.startNodes(count);
        assertTrue(fleet.runUntil(fleet::hasConverged, 60_000) >= 0, "fleet did not converge within 60 s");
        fleet.runForMs(20_000);
        return fleet;
    }

    private static List<SimulatedFleet.ObservedChange> falseDeaths(SimulatedFleet fleet) {
        List<String> running = fleet.runningNodes().map(n -> n.hostId().value()).toList();
        return fleet.memberChanges().stream()
                .filter(o -> o.change().kind() == MemberChange.Kind.DEAD)
                .filter(o -> running.contains(o.change().member().host().value()))
                .toList();
    }
}
