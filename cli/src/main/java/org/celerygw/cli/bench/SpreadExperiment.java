package org.celerygw.cli.bench;

import com.google.protobuf.ByteString;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.cli.bench.FleetBench.BenchOptions;
import org.celerygw.core.config.ConfigManager;
import org.celerygw.core.config.ConfigProposal;
import org.celerygw.core.config.ConfigSyncSettings;
import org.celerygw.core.config.ProposalResult;
import org.celerygw.core.gen.config.Configuration;
import org.celerygw.core.gen.config.Limits;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.Member;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.celerygw.standin.fleet.SimulatedFleet;
import org.celerygw.standin.fleet.SimulatedNode;

/** How long it takes from an operator's proposal until the version is in force at every daemon. */
final class SpreadExperiment {
    private static final long STORE_MS = 10;
    private static final long PEER_MS = 5;
    private static final long LIMIT_MS = 60_000;
    private static final long PAUSE_MS = 20_000;

    private final SimulatedFleet fleet;
    private final UniformRandomProvider random;
    private final CountingTable table;
    private final Map<HostId, ConfigManager> daemons = new HashMap<>();
    private long writeIds;

    private SpreadExperiment(SimulatedFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.table = new CountingTable(new MemoryTable(t -> fleet.schedule(STORE_MS, t), new Faults()));
        fleet.runningNodes().forEach(this::attach);
    }

    static void run(BenchOptions options, PrintStream out) {
        out.println("members,loss,changes,accept_ms_mean,half_ms_mean,all_ms_mean,all_ms_max,late,"
                + "store_reads_per_change,idle_store_reads_per_s");
        for (int members : options.members()) {
            for (double loss : options.losses()) {
                SimulatedFleet fleet = Fleets.settled(options.seed(), members).setLossRate(loss);
                out.println(new SpreadExperiment(fleet, options.seed()).measure(members, loss, options.events()));
            }
        }
    }

    private String measure(int members, double loss, int changes) {
        List<Long> acceptMs = new ArrayList<>();
        List<Long> halfMs = new ArrayList<>();
        List<Long> allMs = new ArrayList<>();
        fleet.runForMs(PAUSE_MS);
        long idleReads = reads(() -> fleet.runForMs(PAUSE_MS));
        long reads = 0;
        for (int i = 1; i <= changes; i++) {
            long version = i;
            reads += reads(() -> change(version, acceptMs, halfMs, allMs));
            fleet.runForMs(PAUSE_MS);
        }
        return String.format(
                Locale.ROOT,
                "%d,%.2f,%d,%.0f,%.0f,%.0f,%d,%d,%.0f,%.2f",
                members,
                loss,
                changes,
                mean(acceptMs),
                mean(halfMs),
                mean(allMs),
                allMs.stream().mapToLong(Long::longValue).max().orElse(-1),
                changes - allMs.size(),
                (double) reads / changes,
                idleReads * 1000.0 / PAUSE_MS);
    }

    private void change(long version, List<Long> acceptMs, List<Long> halfMs, List<Long> allMs) {
        List<SimulatedNode> nodes = fleet.runningNodes().toList();
        long startMs = fleet.nowMs();
        Configuration content = Configuration.newBuilder()
                .setLimits(Limits.newBuilder().setMaxTurns((int) version))
                .build();
        daemons.get(nodes.get(random.nextInt(nodes.size())).hostId())
                .propose(new ConfigProposal(content, version - 1, "operator", ""), startMs, r -> {
                    if (r.status() == ProposalResult.Status.ACCEPTED) {
                        acceptMs.add(fleet.nowMs() - startMs);
                    }
                });
        long half = fleet.runUntil(() -> share(version) >= 0.5, LIMIT_MS);
        long rest = fleet.runUntil(() -> share(version) >= 1, LIMIT_MS);
        if (half >= 0 && rest >= 0) {
            halfMs.add(half);
            allMs.add(half + rest);
        }
    }

    private double share(long version) {
        return daemons.values().stream()
                .mapToInt(d -> d.status(fleet.nowMs()).version() >= version ? 1 : 0)
                .average()
                .orElse(0);
    }

    private long reads(Runnable action) {
        long before = table.reads;
        action.run();
        return table.reads - before;
    }

    private void attach(SimulatedNode node) {
        ConfigManager configs = new ConfigManager(
                ConfigSyncSettings.DEFAULTS,
                table,
                (version, done) -> fetch(node, version, done),
                () -> "write-" + ++writeIds,
                random,
                c -> node.membership().setActiveConfigVersion(c.version()));
        daemons.put(node.hostId(), configs);
        tick(node, configs);
    }

    private void tick(SimulatedNode node, ConfigManager configs) {
        configs.setFleetSize(daemons.size());
        configs.versionAnnounced(node.membership().configVersion());
        configs.tick(fleet.nowMs());
        fleet.schedule(SimulatedFleet.TICK_MS, () -> tick(node, configs));
    }

    /** Asks a random member, as the daemon does over its peer links. */
    private void fetch(SimulatedNode node, long version, Consumer<Optional<ByteString>> done) {
        List<Member> members = node.membership().members();
        HostId peer = members.get(random.nextInt(members.size())).host();
        fleet.schedule(
                PEER_MS,
                () -> done.accept(Optional.ofNullable(daemons.get(peer)).flatMap(d -> d.encodedVersion(version))));
    }

    private static double mean(List<Long> values) {
        return values.stream().mapToLong(Long::longValue).average().orElse(-1);
    }

    /** Counts the rows read. */
    private static final class CountingTable implements Table {
        private final Table inner;
        private long reads;

        CountingTable(Table inner) {
            this.inner = inner;
        }

        @Override
        public void write(Txn txn, Consumer<TxnResult> done) {
            inner.write(txn, done);
        }

        @Override
        public void read(List<String> keys, Consumer<ReadResult> done) {
            reads += keys.size();
            inner.read(keys, done);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> done) {
            inner.scan(prefix, afterKey, limit, done);
        }
    }
}
