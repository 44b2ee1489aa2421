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

/** Random faults against an oracle that knows who runs, which marks were set and which versions were announced. */
public final class ModelFleetFuzzTest {
    private static final long HEAL_LIMIT_MS = 240_000;

    @Test
    public void smallFleetsAgreeWithTheTruthOnceFaultsEnd() {
        qt().withFixedSeed(20261204)
                .withExamples(10)
                .withShrinkCycles(0)
                .forAll(
                        integers().between(1, 1_000_000),
                        lists().of(integers().between(0, 999)).ofSizeBetween(5, 15))
                .checkAssert((seed, faults) -> new Trial(seed, 24).run(faults));
    }

    @Test
    public void aFleetOfHundredsAgreesWithTheTruthOnceFaultsEnd() {
        new Trial(11, 300).run(List.of(721, 32, 9, 607, 208));
    }

    /** One run: faults, then a quiet end at which all must agree. */
    private static final class Trial {
        private final ModelFleet fleet;
        private final Map<HostId, Long> versions = new HashMap<>();
        private final Set<BackendServerId> marked = new HashSet<>();
        private long announced;

        Trial(int seed, int members) {
            fleet = new ModelFleet(seed, 3);
            fleet.startMany(members);
            fleet.runForMs(10_000);
        }

        void run(List<Integer> faults) {
            faults.forEach(f -> {
                inject(f % 10, f / 10);
                fleet.runForMs(1000 + 97L * f);
                checkAlways();
            });
            fleet.loss(0).duplication(0).delay(1, 1).cut((a, b) -> false);
            fleet.refreshHostList();
            long endMs = fleet.nowMs() + HEAL_LIMIT_MS;
            while (!agreed() && fleet.nowMs() < endMs) {
                fleet.runForMs(2000);
            }
            assertTrue(agreed(), "no agreement after faults " + faults);
            checkAlways();
        }

        private void inject(int kind, int which) {
            List<ModelNode> running = fleet.running().toList();
            ModelNode node = running.get(which % running.size());
            switch (kind) {
                case 0 -> fleet.loss(0.05 + which % 4 * 0.1);
                case 1 -> fleet.duplication(0.3).delay(1, 300);
                case 2 -> fleet.cut((a, b) -> (a.zone() == which % 3) != (b.zone() == which % 3));
                case 3 -> fleet.cut((a, b) -> b == node);
                case 4 -> fleet.cut((a, b) -> false);
                case 5 -> fleet.freeze(node, 5000 + which * 300L);
                case 6 -> stop(running, () -> fleet.kill(node));
                case 7 -> fleet.restart(node);
                case 8 -> stop(running, () -> fleet.leave(node));
                default -> tell(node, which);
            }
        }

        private void stop(List<ModelNode> running, Runnable action) {
            if (running.size() > 5) {
                action.run();
            }
        }

        private void tell(ModelNode node, int which) {
            BackendServerId backend = new BackendServerId("backend-" + which);
            node.membership().markServerLeaving(backend, 10 + which);
            node.membership().markServerStaying(backend, 9);
            marked.add(backend);
            node.membership().announceConfig(++announced);
        }

        private void checkAlways() {
            fleet.running().forEach(n -> {
                long version = n.membership().configVersion();
                assertTrue(version <= announced, "a version that nobody announced");
                assertTrue(version >= versions.getOrDefault(n.host(), 0L), "a version went back");
                versions.put(n.host(), version);
                assertTrue(marked.containsAll(n.membership().leavingServers()), "a mark that nobody set");
                List<Member> members = n.membership().members();
                assertEquals(
                        members.stream().map(Member::gossipEndpoint).distinct().count(),
                        members.size(),
                        "one address twice");
            });
        }

        private boolean agreed() {
            // What only daemons knew that died at once may be lost with them.
            long newest = fleet.running()
                    .mapToLong(n -> n.membership().configVersion())
                    .max()
                    .orElse(0);
            Set<BackendServerId> known = new HashSet<>();
            fleet.running().forEach(n -> known.addAll(n.membership().leavingServers()));
            return fleet.converged()
                    && fleet.running().allMatch(n -> n.membership().configVersion() == newest)
                    && fleet.running()
                            .allMatch(n -> n.membership().leavingServers().equals(known));
        }
    }
}
