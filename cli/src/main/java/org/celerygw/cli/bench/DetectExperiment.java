package org.celerygw.cli.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.celerygw.cli.bench.FleetBench.BenchOptions;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.MemberChange;
import org.celerygw.core.membership.MemberState;
import org.celerygw.standin.fleet.SimulatedFleet;
import org.celerygw.standin.fleet.SimulatedNode;

/** How long it takes until all hold a killed daemon dead, and how often a living one is suspected or held dead. */
final class DetectExperiment {
    private static final long LIMIT_MS = 120_000;

    private DetectExperiment() {}

    static void run(BenchOptions options, PrintStream out) {
        out.println("members,loss,deaths,first_ms_mean,all_ms_mean,all_ms_max,undetected,quiet_seconds,"
                + "false_suspicions,false_deaths");
        for (int members : options.members()) {
            for (double loss : options.losses()) {
                out.println(measure(members, loss, options));
            }
        }
    }

    private static String measure(int members, double loss, BenchOptions options) {
        SimulatedFleet fleet = Fleets.settled(options.seed(), members).setLossRate(loss);
        int before = fleet.memberChanges().size();
        fleet.runForMs(options.seconds() * 1000L);
        List<SimulatedFleet.ObservedChange> quiet = List.copyOf(
                fleet.memberChanges().subList(before, fleet.memberChanges().size()));
        List<Long> firstMs = new ArrayList<>();
        List<Long> allMs = new ArrayList<>();
        int deaths = Math.min(options.events(), members - 2);
        for (int i = 0; i < deaths; i++) {
            kill(fleet, fleet.nodes().get(i * (members / deaths)), firstMs, allMs);
        }
        return String.format(
                Locale.ROOT,
                "%d,%.2f,%d,%.0f,%.0f,%d,%d,%d,%d,%d",
                members,
                loss,
                deaths,
                mean(firstMs),
                mean(allMs),
                allMs.stream().mapToLong(Long::longValue).max().orElse(-1),
                deaths - allMs.size(),
                options.seconds(),
                subjects(quiet, MemberChange.Kind.SUSPECTED),
                count(quiet, MemberChange.Kind.DEAD));
    }

    private static void kill(SimulatedFleet fleet, SimulatedNode victim, List<Long> firstMs, List<Long> allMs) {
        HostId host = victim.hostId();
        fleet.kill(victim);
        long first = fleet.runUntil(() -> fleet.runningNodes().anyMatch(n -> gone(n, host)), LIMIT_MS);
        long rest = fleet.runUntil(() -> fleet.runningNodes().allMatch(n -> gone(n, host)), LIMIT_MS);
        if (first >= 0 && rest >= 0) {
            firstMs.add(first);
            allMs.add(first + rest);
        }
    }

    private static boolean gone(SimulatedNode node, HostId host) {
        return node.membership()
                .state(host)
                .map(s -> s == MemberState.DEAD || s == MemberState.LEFT)
                .orElse(true);
    }

    /** How many suspicions were raised, each counted once and not at every daemon that heard of it. */
    private static long subjects(List<SimulatedFleet.ObservedChange> changes, MemberChange.Kind kind) {
        return changes.stream()
                .filter(o -> o.change().kind() == kind)
                .map(o -> o.change().member().host() + "/" + o.change().detectedAtMs() / 5000)
                .distinct()
                .count();
    }

    private static long count(List<SimulatedFleet.ObservedChange> changes, MemberChange.Kind kind) {
        return changes.stream().filter(o -> o.change().kind() == kind).count();
    }

    private static double mean(List<Long> values) {
        return values.stream().mapToLong(Long::longValue).average().orElse(-1);
    }
}
