package org.celerygw.core.config;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.gen.config.BackendServer;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Customer;
import org.celerygw.core.gen.config.Limits;
import org.testng.annotations.Test;

/** Validation, acceptance, distribution and restoration of configuration versions under faults. */
public final class ConfigManagerTest {
    private static final long TICK_MS = 50;

    @Test
    public void validationReportsEveryProblem() {
        Configuration invalid = Configuration.newBuilder()
                .addCustomers(
                        Customer.newBuilder().setId("a").addKeySha256Hex("xyz").setShare(-1))
                .addCustomers(Customer.newBuilder().setId("a"))
                .addBackends(BackendServer.newBuilder()
                        .setId("e")
                        .setHost("10.0.0.1")
                        .setPort(70_000)
                        .setZone("z"))
                .build();
        List<String> found = ConfigValidator.validate(invalid).stream()
                .map(p -> p.field() + " " + p.kind())
                .toList();
        assertEquals(
                found,
                List.of(
                        "customers[0].key_sha256_hex[0] INVALID",
                        "customers[0].share INVALID",
                        "customers[1].id DUPLICATE",
                        "backends[0].port INVALID",
                        "backends[0].models MISSING"));
    }

    @Test
    public void concurrentProposalsAcceptOneAndReportItAsConflict() {
        TestFleet fleet = new TestFleet(1, 2);
        List<ProposalResult> results = new ArrayList<>();
        fleet.propose(0, 0, 100, results::add);
        fleet.propose(1, 0, 200, results::add);
        fleet.run(5000);
        assertEquals(results.size(), 2);
        ProposalResult winner = onlyResult(results, ProposalResult.Status.ACCEPTED);
        ProposalResult loser = onlyResult(results, ProposalResult.Status.CONFLICT);
        assertEquals(loser.config(), winner.config());
    }

    @Test
    public void proposalIsAcceptedDespiteLostStoreResponses() {
        TestFleet fleet = new TestFleet(2, 1);
        List<ProposalResult> results = new ArrayList<>();
        fleet.table.failureProbability = 0.8;
        fleet.propose(0, 0, 7, results::add);
        fleet.run(4000);
        fleet.table.failureProbability = 0;
        fleet.run(4000);
        assertEquals(results.get(0).status(), ProposalResult.Status.ACCEPTED);
        assertEquals(ProposalCommit.headVersion(fleet.table.row("config/head")), 1);
    }

    @Test
    public void proposalDuringStoreOutageIsReportedUnavailableAndNotWritten() {
        TestFleet fleet = new TestFleet(3, 1);
        fleet.table.unavailable = true;
        List<ProposalResult> results = new ArrayList<>();
        fleet.propose(0, 0, 7, results::add);
        fleet.run(12_000);
        assertEquals(results.get(0).status(), ProposalResult.Status.UNAVAILABLE);
        fleet.table.unavailable = false;
        fleet.run(12_000);
        assertFalse(fleet.table.row("config/head").exists());
    }

    @Test
    public void daemonStartedDuringOutageFetchesFromPeersAndIsUnconfirmed() {
        TestFleet fleet = new TestFleet(4, 3);
        fleet.propose(0, 0, 7, r -> {});
        fleet.run(8000);
        fleet.table.unavailable = true;
        fleet.restart(2);
        fleet.run(5000);
        assertEquals(fleet.daemons.get(2).activeConfig().orElseThrow().version(), 1);
        assertFalse(fleet.daemons.get(2).status(fleet.nowMs).confirmed());
        fleet.table.unavailable = false;
        fleet.run(10_000);
        assertTrue(fleet.daemons.get(2).status(fleet.nowMs).confirmed());
    }

    @Test
    public void stalePeerDoesNotRevertVersion() {
        TestFleet fleet = new TestFleet(5, 2);
        fleet.propose(0, 0, 1, r -> {});
        fleet.run(8000);
        ByteString oldVersion = fleet.daemons.get(0).encodedVersion(1).orElseThrow();
        fleet.propose(0, 1, 2, r -> {});
        fleet.run(8000);
        fleet.forcedPeerResponse = Optional.of(oldVersion);
        fleet.table.unavailable = true;
        fleet.restart(1);
        fleet.daemons.get(1).versionAnnounced(2);
        fleet.run(8000);
        assertTrue(fleet.daemons.get(1).activeConfig().isEmpty());
        assertEquals(fleet.daemons.get(0).activeConfig().orElseThrow().version(), 2);
    }

    @Test
    public void restoredContentBecomesNewVersion() {
        TestFleet fleet = new TestFleet(6, 1);
        fleet.propose(0, 0, 1, r -> {});
        fleet.run(2000);
        fleet.propose(0, 1, 2, r -> {});
        fleet.run(2000);
        fleet.daemons.get(0).restore(1, 2, "op", "undo", fleet.nowMs, r -> {});
        fleet.run(2000);
        AcceptedConfig restored = fleet.daemons.get(0).activeConfig().orElseThrow();
        assertEquals(restored.version(), 3);
        assertEquals(restored.restoredVersion(), 1);
        assertEquals(restored.content().getLimits().getMaxTurns(), 1);
        List<AcceptedConfig> history = new ArrayList<>();
        fleet.daemons.get(0).history(0, 10, h -> history.addAll(h.orElseThrow()));
        fleet.run(1000);
        assertEquals(history.stream().map(AcceptedConfig::version).toList(), List.of(3L, 2L, 1L));
    }

    @Test
    public void largeFleetConfirmsWithinReadLimit() {
        TestFleet fleet = new TestFleet(7, 200);
        fleet.propose(0, 0, 1, r -> {});
        fleet.run(60_000);
        assertTrue(fleet.allActiveAt(1));
        long keysReadBefore = fleet.table.keysRead;
        fleet.run(200_000);
        long readsPerSecond = (fleet.table.keysRead - keysReadBefore) / 200;
        assertTrue(readsPerSecond <= 5, "store reads per second: " + readsPerSecond);
    }

    @Test
    public void fleetWithoutConfigurationStaysWithinReadLimit() {
        TestFleet fleet = new TestFleet(8, 200);
        fleet.run(60_000);
        long keysReadBefore = fleet.table.keysRead;
        fleet.run(200_000);
        long readsPerSecond = (fleet.table.keysRead - keysReadBefore) / 200;
        assertTrue(readsPerSecond <= 5, "store reads per second: " + readsPerSecond);
    }

    @Test
    public void versionsAreNeverLostOrRevertedUnderRacesFaultsAndRestarts() {
        qt().withFixedSeed(412)
                .withExamples(40)
                .withShrinkCycles(0)
                .forAll(integers().between(1, 1_000_000))
                .checkAssert(ConfigManagerTest::runRandomHistory);
    }

    private static void runRandomHistory(int seed) {
        TestFleet fleet = new TestFleet(seed, 12);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Set<Long> accepted = new HashSet<>();
        int[] completedProposals = {0};
        int proposals = 60;
        for (int i = 0; i < proposals; i++) {
            fleet.table.failureProbability = random.nextInt(3) * 0.25;
            fleet.table.unavailable = random.nextInt(8) == 0;
            int daemon = random.nextInt(12);
            long seenVersion = fleet.daemons.get(daemon).status(fleet.nowMs).version();
            fleet.propose(daemon, seenVersion, i + 1, r -> {
                completedProposals[0]++;
                if (r.status() == ProposalResult.Status.ACCEPTED) {
                    assertTrue(accepted.add(r.config().version()), "the same version was accepted twice");
                }
            });
            if (random.nextInt(10) == 0) {
                fleet.restart(random.nextInt(12));
            }
            fleet.run(random.nextInt(2000));
        }
        fleet.table.unavailable = false;
        fleet.table.failureProbability = 0;
        fleet.run(30_000);
        long head = ProposalCommit.headVersion(fleet.table.row("config/head"));
        assertTrue(accepted.stream().allMatch(v -> v <= head), "an accepted version is missing from the store");
        assertTrue(fleet.allActiveAt(head), "a daemon has not activated the newest version");
        assertTrue(completedProposals[0] <= proposals, "a proposal was completed twice");
    }

    private static ProposalResult onlyResult(List<ProposalResult> results, ProposalResult.Status status) {
        List<ProposalResult> found =
                results.stream().filter(r -> r.status() == status).toList();
        assertEquals(found.size(), 1);
        return found.get(0);
    }

    /**
     * Simulated daemons that share a table. The highest version known to any daemon is announced to all every 400 ms.
     */
    private static final class TestFleet {
        private final UniformRandomProvider random;
        private final SimulatedTable table;
        private final List<ConfigManager> daemons = new ArrayList<>();
        private Optional<ByteString> forcedPeerResponse = Optional.empty();
        private long nowMs = 1000;
        private int lastWriteId;

        TestFleet(int seed, int daemonCount) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            table = new SimulatedTable(random);
            for (int i = 0; i < daemonCount; i++) {
                daemons.add(createManager(daemonCount));
            }
        }

        void propose(int daemon, long seenVersion, int maxTurns, Consumer<ProposalResult> callback) {
            Configuration configuration = Configuration.newBuilder()
                    .setLimits(Limits.newBuilder().setMaxTurns(maxTurns))
                    .build();
            daemons.get(daemon).propose(new ConfigProposal(configuration, seenVersion, "op", "test"), nowMs, callback);
        }

        void restart(int daemon) {
            daemons.set(daemon, createManager(daemons.size()));
        }

        void run(long durationMs) {
            for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += TICK_MS) {
                table.runUntil(nowMs);
                daemons.forEach(d -> d.tick(nowMs));
                if (nowMs % 400 == 0) {
                    long newest = daemons.stream()
                            .mapToLong(d -> d.status(nowMs).announcedVersion())
                            .max()
                            .orElse(0);
                    daemons.forEach(d -> d.versionAnnounced(newest));
                }
            }
        }

        boolean allActiveAt(long version) {
            return daemons.stream().allMatch(d -> d.status(nowMs).version() == version);
        }

        private ConfigManager createManager(int fleetSize) {
            long[] lastVersion = {0};
            ConfigManager manager = new ConfigManager(
                    ConfigSyncSettings.DEFAULTS, table, this::fetch, () -> "write-" + ++lastWriteId, random, c -> {
                        assertTrue(c.version() > lastVersion[0], "a daemon activated a lower version");
                        lastVersion[0] = c.version();
                    });
            manager.setFleetSize(fleetSize);
            return manager;
        }

        private void fetch(long version, Consumer<Optional<ByteString>> callback) {
            Optional<ByteString> response = forcedPeerResponse.isPresent()
                    ? forcedPeerResponse
                    : daemons.get(random.nextInt(daemons.size())).encodedVersion(version);
            callback.accept(response);
        }
    }
}
