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

/** Accepting, learning and never reverting versions. */
public final class ConfigurationsTest {
    private static final long TICK_MS = 50;

    @Test
    public void everythingThatIsWrongIsListed() {
        Configuration wrong = Configuration.newBuilder()
                .addCustomers(
                        Customer.newBuilder().setId("a").addKeySha256Hex("xyz").setShare(-1))
                .addCustomers(Customer.newBuilder().setId("a"))
                .addBackends(BackendServer.newBuilder()
                        .setId("e")
                        .setHost("10.0.0.1")
                        .setPort(70_000)
                        .setZone("z"))
                .build();
        List<String> found = ConfigCheck.problems(wrong).stream()
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
    public void ofTwoOperatorsOneWinsAndTheOtherIsShownTheWinner() {
        World world = new World(1, 2);
        List<AcceptResult> results = new ArrayList<>();
        world.propose(0, 0, 100, results::add);
        world.propose(1, 0, 200, results::add);
        world.run(5000);
        assertEquals(results.size(), 2);
        AcceptResult won = only(results, AcceptResult.Status.ACCEPTED);
        AcceptResult lost = only(results, AcceptResult.Status.CONFLICT);
        assertEquals(lost.config(), won.config());
    }

    @Test
    public void anAcceptWhoseAnswerIsLostIsSettled() {
        World world = new World(2, 1);
        List<AcceptResult> results = new ArrayList<>();
        world.table.lostAnswers = 0.8;
        world.propose(0, 0, 7, results::add);
        world.run(4000);
        world.table.lostAnswers = 0;
        world.run(4000);
        assertEquals(results.get(0).status(), AcceptResult.Status.ACCEPTED);
        assertEquals(Acceptance.headVersion(world.table.row("config/head")), 1);
    }

    @Test
    public void whileTheStoreIsDownNothingIsAcceptedAndThatIsSaid() {
        World world = new World(3, 1);
        world.table.down = true;
        List<AcceptResult> results = new ArrayList<>();
        world.propose(0, 0, 7, results::add);
        world.run(12_000);
        assertEquals(results.get(0).status(), AcceptResult.Status.UNAVAILABLE);
        world.table.down = false;
        world.run(12_000);
        assertFalse(world.table.row("config/head").exists());
    }

    @Test
    public void aDaemonThatStartsInAnOutageLearnsFromPeersAndIsNotConfirmed() {
        World world = new World(4, 3);
        world.propose(0, 0, 7, r -> {});
        world.run(8000);
        world.table.down = true;
        world.restart(2);
        world.run(5000);
        assertEquals(world.daemons.get(2).inForce().orElseThrow().version(), 1);
        assertFalse(world.daemons.get(2).status(world.nowMs).confirmed());
        world.table.down = false;
        world.run(10_000);
        assertTrue(world.daemons.get(2).status(world.nowMs).confirmed());
    }

    @Test
    public void anOldPeerDoesNotBringBackAnOldVersion() {
        World world = new World(5, 2);
        world.propose(0, 0, 1, r -> {});
        world.run(8000);
        ByteString old = world.daemons.get(0).serve(1).orElseThrow();
        world.propose(0, 1, 2, r -> {});
        world.run(8000);
        world.peerAnswer = Optional.of(old);
        world.table.down = true;
        world.restart(1);
        world.daemons.get(1).announced(2);
        world.run(8000);
        assertTrue(world.daemons.get(1).inForce().isEmpty());
        assertEquals(world.daemons.get(0).inForce().orElseThrow().version(), 2);
    }

    @Test
    public void anOlderContentComesBackAsANewVersion() {
        World world = new World(6, 1);
        world.propose(0, 0, 1, r -> {});
        world.run(2000);
        world.propose(0, 1, 2, r -> {});
        world.run(2000);
        world.daemons.get(0).restore(1, 2, "op", "undo", world.nowMs, r -> {});
        world.run(2000);
        AcceptedConfig now = world.daemons.get(0).inForce().orElseThrow();
        assertEquals(now.version(), 3);
        assertEquals(now.restores(), 1);
        assertEquals(now.content().getLimits().getMaxTurns(), 1);
        List<AcceptedConfig> history = new ArrayList<>();
        world.daemons.get(0).history(0, 10, h -> history.addAll(h.orElseThrow()));
        world.run(1000);
        assertEquals(history.stream().map(AcceptedConfig::version).toList(), List.of(3L, 2L, 1L));
    }

    @Test
    public void fewReadsConfirmALargeFleet() {
        World world = new World(7, 200);
        world.propose(0, 0, 1, r -> {});
        world.run(60_000);
        assertTrue(world.allAt(1));
        long before = world.table.reads;
        world.run(200_000);
        long perSecond = (world.table.reads - before) / 200;
        assertTrue(perSecond <= 5, "reads a second: " + perSecond);
    }

    @Test
    public void racingOperatorsFaultyStoreAndRestartsNeverLoseOrRevertAVersion() {
        qt().withFixedSeed(412)
                .withExamples(40)
                .withShrinkCycles(0)
                .forAll(integers().between(1, 1_000_000))
                .checkAssert(ConfigurationsTest::trial);
    }

    private static void trial(int seed) {
        World world = new World(seed, 12);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        Set<Long> accepted = new HashSet<>();
        int[] answered = {0};
        int proposals = 60;
        for (int i = 0; i < proposals; i++) {
            world.table.lostAnswers = random.nextInt(3) * 0.25;
            world.table.down = random.nextInt(8) == 0;
            int daemon = random.nextInt(12);
            long seen = world.daemons.get(daemon).status(world.nowMs).version();
            world.propose(daemon, seen, i + 1, r -> {
                answered[0]++;
                if (r.status() == AcceptResult.Status.ACCEPTED) {
                    assertTrue(accepted.add(r.config().version()), "one version accepted twice");
                }
            });
            if (random.nextInt(10) == 0) {
                world.restart(random.nextInt(12));
            }
            world.run(random.nextInt(2000));
        }
        world.table.down = false;
        world.table.lostAnswers = 0;
        world.run(30_000);
        long head = Acceptance.headVersion(world.table.row("config/head"));
        assertTrue(accepted.stream().allMatch(v -> v <= head), "accepted but not in the store");
        assertTrue(world.allAt(head), "not in force everywhere");
        assertTrue(answered[0] <= proposals, "a proposal was answered twice");
    }

    private static AcceptResult only(List<AcceptResult> results, AcceptResult.Status status) {
        List<AcceptResult> found =
                results.stream().filter(r -> r.status() == status).toList();
        assertEquals(found.size(), 1);
        return found.get(0);
    }

    /** Daemons that share a table; a version in force at one is announced to all a little later. */
    private static final class World {
        private final UniformRandomProvider random;
        private final ModelTable table;
        private final List<Configurations> daemons = new ArrayList<>();
        private Optional<ByteString> peerAnswer = Optional.empty();
        private long nowMs = 1000;
        private int writeIds;

        World(int seed, int count) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            table = new ModelTable(random);
            for (int i = 0; i < count; i++) {
                daemons.add(make(count));
            }
        }

        void propose(int daemon, long seen, int content, Consumer<AcceptResult> done) {
            Configuration configuration = Configuration.newBuilder()
                    .setLimits(Limits.newBuilder().setMaxTurns(content))
                    .build();
            daemons.get(daemon).accept(new Proposal(configuration, seen, "op", "test"), nowMs, done);
        }

        void restart(int daemon) {
            daemons.set(daemon, make(daemons.size()));
        }

        void run(long forMs) {
            for (long endMs = nowMs + forMs; nowMs < endMs; nowMs += TICK_MS) {
                table.runUntil(nowMs);
                daemons.forEach(d -> d.tick(nowMs));
                if (nowMs % 400 == 0) {
                    long newest = daemons.stream()
                            .mapToLong(d -> d.status(nowMs).announcedVersion())
                            .max()
                            .orElse(0);
                    daemons.forEach(d -> d.announced(newest));
                }
            }
        }

        boolean allAt(long version) {
            return daemons.stream().allMatch(d -> d.status(nowMs).version() == version);
        }

        private Configurations make(int fleetSize) {
            long[] last = {0};
            Configurations made = new Configurations(
                    ConfigSettings.DEFAULTS, table, this::fetch, () -> "write-" + ++writeIds, random, c -> {
                        assertTrue(c.version() > last[0], "a version went back");
                        last[0] = c.version();
                    });
            made.fleetSize(fleetSize);
            return made;
        }

        private void fetch(long version, Consumer<Optional<ByteString>> done) {
            Optional<ByteString> answer = peerAnswer.isPresent()
                    ? peerAnswer
                    : daemons.get(random.nextInt(daemons.size())).serve(version);
            done.accept(answer);
        }
    }
}
