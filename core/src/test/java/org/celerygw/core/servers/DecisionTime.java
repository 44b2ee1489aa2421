package org.celerygw.core.servers;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;

/** Measures the time of a decision at 100 engines: {@code java -cp ... org.celerygw.core.servers.DecisionTime}. */
final class DecisionTime {
    private static final int ENGINES = 100;
    private static final int ROUNDS = 8;
    private static final int DECISIONS = 20_000;

    private DecisionTime() {}

    public static void main(String[] args) {
        measure("one group, idle", 1, 0, false);
        measure("one group, full", 1, 17, false);
        measure("three groups, idle", 3, 4, false);
        measure("three groups, full", 3, 17, false);
        measure("three groups, unequal speeds", 3, 8, true);
    }

    private static void measure(String name, int groups, int load, boolean unequal) {
        ServerList servers = new ServerList(s -> {});
        Random random = new Random(1);
        IntStream.range(0, ENGINES)
                .forEach(i -> servers.put(
                        new BackendServer("engine-" + i, "e", "127.0.0.1", 1, "z" + i % 4, "v1", 16, false, 1)));
        List<TrackedServer> engines = servers.byService("e");
        engines.forEach(e -> {
            e.setPeersLoad(new PeersLoad(load + random.nextInt(2), 0, 0, 0), 0);
            IntStream.range(0, unequal ? 40 : 0)
                    .forEach(i -> e.speed().record(0.5 + e.hashCode() % 3, 1_000 + i * 500L));
        });
        ServerSelector selector = new ServerSelector("z1", s -> {});
        selector.setGroup(0, groups);
        selector.setHostZones(Set.of("z0", "z1", "z2", "z3"));
        IntStream.range(0, 4)
                .forEach(z -> selector.zoneRooms().report(new ZoneRooms.ZoneRoom("e", "z" + z, 50, 0, 0), 20_000));
        measure(
                "engines, " + name,
                i -> selector.selectEngine(engines, "program-" + i, "", Set.of(), 20_000 + i / 100));
        measure("plain, " + name, i -> selector.selectServer(engines, Set.of(), "key-" + i, 20_000 + i / 100));
        measure(
                "sticky, " + name,
                i -> selector.selectStickyServer(engines, Set.of(), "r", "key-" + i % 500, 20_000 + i / 100));
    }

    private static void measure(String name, IntConsumer decision) {
        double best = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            long startNs = System.nanoTime();
            IntStream.range(0, DECISIONS).forEach(decision);
            best = Math.min(best, (System.nanoTime() - startNs) / 1e3 / DECISIONS);
        }
        System.out.printf("%s: %.1f us%n", name, best);
    }
}
