package org.celerygw.standin.fleet;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.Member;
import org.testng.annotations.Test;

/** Injects random faults and compares all nodes with the known running nodes, leaving marks and config versions. */
public final class SimulatedFleetFuzzTest {
    private static final long MAX_RECOVERY_MS = 240_000;

    @Test
    public void smallFleetsConvergeAfterFaultsEnd() {
        qt().withFixedSeed(20261204)
                .withExamples(10)
                .withShrinkCycles(0)
                .forAll(
                        integers().between(1, 1_000_000),
                        lists().of(integers().between(0, 999)).ofSizeBetween(5, 15))
                .checkAssert((seed, faults) -> new Trial(seed, 24).run(faults));
    }

    @Test
    public void fleetOfHundredsConvergesAfterFaultsEnd() {
        new Trial(11, 300).run(List.of(721, 32, 9, 607, 208));
    }

    /** One run: injects faults, then removes them and requires all nodes to converge. */
    private static final class Trial {
        private final SimulatedFleet fleet;
        private final Map<HostId, Long> lastVersionByHost = new HashMap<>();
        private final Set<BackendServerId> markedBackends = new HashSet<>();
        private long lastAnnouncedVersion;

        Trial(int seed, int members) {
            fleet = new SimulatedFleet(seed, 3);
            fleet.startNodes(members);
            fleet.runForMs(10_000);
        }

        void run(List<Integer> faults) {
            faults.forEach(f -> {
                inject(f % 10, f / 10);
                fleet.runForMs(1000 + 97L * f);
                checkInvariants();
            });
            fleet.setLossRate(0).setDuplicationRate(0).setDelay(1, 1).blockPaths((a, b) -> false);
            fleet.refreshHostList();
            long endMs = fleet.nowMs() + MAX_RECOVERY_MS;
            while (!hasConverged() && fleet.nowMs() < endMs) {
                fleet.runForMs(2000);
            }
            assertTrue(hasConverged(), "nodes did not converge after faults " + faults);
            checkInvariants();
        }

        private void inject(int kind, int variant) {
            List<SimulatedNode> running = fleet.runningNodes().toList();
            SimulatedNode node = running.get(variant % running.size());
            switch (kind) {
                case 0 -> fleet.setLossRate(0.05 + variant % 4 * 0.1);
                case 1 -> fleet.setDuplicationRate(0.3).setDelay(1, 300);
                case 2 -> fleet.blockPaths((a, b) -> (a.zone() == variant % 3) != (b.zone() == variant % 3));
                case 3 -> fleet.blockPaths((a, b) -> b == node);
                case 4 -> fleet.blockPaths((a, b) -> false);
                case 5 -> fleet.pause(node, 5000 + variant * 300L);
                case 6 -> stopIfMoreThanFiveRun(running, () -> fleet.kill(node));
                case 7 -> fleet.restart(node);
                case 8 -> stopIfMoreThanFiveRun(running, () -> fleet.leave(node));
                default -> publishFacts(node, variant);
            }
        }

        private void stopIfMoreThanFiveRun(List<SimulatedNode> running, Runnable action) {
            if (running.size() > 5) {
                action.run();
            }
        }

        private void publishFacts(SimulatedNode node, int variant) {
            BackendServerId backend = new BackendServerId("backend-" + variant);
            node.membership().markServerLeaving(backend, 10 + variant);
            node.membership().markServerStaying(backend, 9);
            markedBackends.add(backend);
            node.membership().announceConfig(++lastAnnouncedVersion);
        }

        private void checkInvariants() {
            fleet.runningNodes().forEach(n -> {
                long version = n.membership().configVersion();
                assertTrue(version <= lastAnnouncedVersion, "config version that was never announced");
                assertTrue(version >= lastVersionByHost.getOrDefault(n.hostId(), 0L), "config version decreased");
                lastVersionByHost.put(n.hostId(), version);
                assertTrue(
                        markedBackends.containsAll(n.membership().leavingServers()), "leaving mark that was never set");
                List<Member> members = n.membership().members();
                assertEquals(
                        members.stream().map(Member::gossipEndpoint).distinct().count(),
                        members.size(),
                        "two members with the same address");
            });
        }

        private boolean hasConverged() {
            // Facts that only crashed nodes had received may be lost: only the facts still known are compared.
            long newestVersion = fleet.runningNodes()
                    .mapToLong(n -> n.membership().configVersion())
                    .max()
                    .orElse(0);
            Set<BackendServerId> knownLeaving = new HashSet<>();
            fleet.runningNodes().forEach(n -> knownLeaving.addAll(n.membership().leavingServers()));
            return fleet.hasConverged()
                    && fleet.runningNodes().allMatch(n -> n.membership().configVersion() == newestVersion)
                    && fleet.runningNodes()
                            .allMatch(n -> n.membership().leavingServers().equals(knownLeaving));
        }
    }
}
