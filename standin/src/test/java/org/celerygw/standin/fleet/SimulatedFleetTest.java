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
        ModelFleet fleet = new ModelFleet(1, 3);
        fleet.startMany(100);
        long tookMs = fleet.runUntil(fleet::converged, 60_000);

        assertTrue(tookMs >= 0);
    }

    @Test
    public void killedNodeIsDeclaredDeadByAll() {
        ModelFleet fleet = convergedFleet(2, 100);
        ModelNode victim = fleet.nodes().get(17);
        fleet.kill(victim);
        long tookMs = fleet.runUntil(fleet::converged, 60_000);

        assertTrue(tookMs >= 0 && tookMs <= 20_000);
        assertEquals(falseDeaths(fleet), List.of());
    }

    @Test
    public void leavingNodeIsRemovedWithinFiveSeconds() {
        ModelFleet fleet = convergedFleet(3, 100);
        fleet.leave(fleet.nodes().get(5));
        long tookMs = fleet.runUntil(fleet::converged, 60_000);

        assertTrue(tookMs >= 0 && tookMs <= 5000);
    }

    @Test
    public void restartAtSameAddressReplacesOldIncarnation() {
        ModelFleet fleet = convergedFleet(4, 100);
        fleet.restart(fleet.nodes().get(5));
        long tookMs = fleet.runUntil(fleet::converged, 60_000);

        assertTrue(tookMs >= 0);
    }

    @Test
    public void nodePausedForThirtySecondsRejoinsAndDeclaresNobodyDead() {
        ModelFleet fleet = convergedFleet(5, 100);
        ModelNode paused = fleet.nodes().get(40);
        fleet.pause(paused, 30_000);
        fleet.runForMs(31_000);
        long tookMs = fleet.runUntil(fleet::converged, 60_000);

        assertTrue(tookMs >= 0);
        assertTrue(fleet.changes().stream()
                .noneMatch(o -> o.by() == paused && o.change().kind() == MemberChange.Kind.DEAD));
    }

    @Test
    public void partitionedZonesConvergeAfterReconnection() {
        ModelFleet fleet = convergedFleet(6, 60);
        fleet.blockPaths((a, b) -> (a.zone() == 0) != (b.zone() == 0));
        fleet.runForMs(120_000);
        assertEquals(fleet.nodes().get(0).membership().members().size(), 20);
        fleet.blockPaths((a, b) -> false);
        long tookMs = fleet.runUntil(fleet::converged, 120_000);

        assertTrue(tookMs >= 0);
    }

    @Test
    public void nodeThatReceivesNothingCausesNoFalseDeathsOfOthers() {
        ModelFleet fleet = convergedFleet(7, 60);
        ModelNode isolated = fleet.nodes().get(9);
        fleet.blockPaths((a, b) -> b == isolated);
        fleet.runForMs(60_000);
        assertTrue(fleet.changes().stream()
                .noneMatch(o -> o.by() != isolated
                        && o.change().kind() == MemberChange.Kind.DEAD
                        && !o.change().member().host().equals(isolated.host())));
        fleet.blockPaths((a, b) -> false);
        assertTrue(fleet.runUntil(fleet::converged, 120_000) >= 0);
    }

    @Test
    public void leavingMarkReachesAllAndIsNotUndoneByOlderFacts() {
        ModelFleet fleet = convergedFleet(8, 100);
        BackendServerId engine = new BackendServerId("engine-1");
        fleet.nodes().get(0).membership().markServerLeaving(engine, 5);
        fleet.nodes().get(1).membership().markServerStaying(engine, 4);
        fleet.nodes().get(2).membership().markServerStaying(engine, 5);
        long tookMs = fleet.runUntil(
                () -> fleet.running().allMatch(n -> n.membership().isServerLeaving(engine)), 20_000);

        assertTrue(tookMs >= 0 && tookMs <= 5000);
        fleet.runForMs(30_000);
        assertTrue(fleet.running().allMatch(n -> n.membership().isServerLeaving(engine)));
    }

    @Test
    public void configVersionReachesAllWithBoundedTraffic() {
        ModelFleet fleet = convergedFleet(9, 200);
        fleet.nodes().get(0).membership().announceConfig(7);
        long tookMs = fleet.runUntil(
                () -> fleet.running().allMatch(n -> n.membership().configVersion() == 7), 20_000);

        assertTrue(tookMs >= 0 && tookMs <= 2000);
        long bytesBefore = fleet.running().mapToLong(ModelNode::bytes).sum();
        fleet.runForMs(60_000);
        long bytesPerNodePerS = (fleet.running().mapToLong(ModelNode::bytes).sum() - bytesBefore) / 200 / 60;

        assertTrue(bytesPerNodePerS <= 3000, "bytes per node and second: " + bytesPerNodePerS);
    }

    private static ModelFleet convergedFleet(long seed, int count) {
        ModelFleet fleet = new ModelFleet(seed, 3);
        fleet.startMany(count);
        assertTrue(fleet.runUntil(fleet::converged, 60_000) >= 0, "fleet did not converge within 60 s");
        fleet.runForMs(20_000);
        return fleet;
    }

    private static List<ModelFleet.Observed> falseDeaths(ModelFleet fleet) {
        List<String> running = fleet.running().map(n -> n.host().value()).toList();
        return fleet.changes().stream()
                .filter(o -> o.change().kind() == MemberChange.Kind.DEAD)
                .filter(o -> running.contains(o.change().member().host().value()))
                .toList();
    }
}
