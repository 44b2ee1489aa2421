package org.celerygw.cli.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.routing.DispatcherSettings;
import org.celerygw.standin.model.Deployment;

/** The policies that an experiment compares. */
final class Policies {
    private Policies() {}

    /**
     * A policy.
     *
     * @param name its name
     * @param hosts makes one gateway for each host
     */
    record Policy(String name, Function<Setup, List<Gateway>> hosts) {}

    /** What a policy is made for. */
    record Setup(Deployment deployment, List<AvailabilityZone> zones, long seed) {}

    static Policy random() {
        return baseline("random", setup -> {
            UniformRandomProvider rng = rng(setup.seed);
            return () -> (call, listed) -> listed.get(rng.nextInt(listed.size()));
        });
    }

    static Policy roundRobin() {
        return baseline("round-robin", setup -> () -> {
            int[] turn = {0};
            return (call, listed) -> listed.get(turn[0]++ % listed.size());
        });
    }

    /** Least requests with exact counts of all hosts' calls, which no real balancer has. */
    static Policy leastRequests() {
        return baseline("least-requests", setup -> {
            UniformRandomProvider rng = rng(setup.seed);
            return () -> (call, listed) -> {
                int least = listed.stream().mapToInt(n -> n.calls.size()).min().orElse(0);
                List<EngineNode> ties =
                        listed.stream().filter(n -> n.calls.size() == least).toList();
                return ties.get(rng.nextInt(ties.size()));
            };
        });
    }

    /** Rendezvous hashing of the prefix that a program and its sub-agents share. */
    static Policy hashAffinity() {
        return baseline(
                "hash-affinity",
                setup -> () -> (call, listed) -> listed.stream()
                        .max(Comparator.comparingLong(
                                n -> mix(call.run.trace.root().hashCode(), n.id.hashCode())))
                        .orElse(null));
    }

    static Policy celerygw(DispatcherSettings settings) {
        return new Policy("celerygw", setup -> IntStream.range(0, setup.deployment.hosts())
                .mapToObj(h -> (Gateway) new DispatcherGateway(
                        settings, setup.deployment, setup.zones.get(h % setup.zones.size()), setup.seed * 1_000 + h))
                .toList());
    }

    private static Policy baseline(
            String name, Function<Setup, java.util.function.Supplier<BaselineGateway.Picker>> pickers) {
        return new Policy(name, setup -> {
            var picker = pickers.apply(setup);
            List<Gateway> hosts = new ArrayList<>();
            IntStream.range(0, setup.deployment.hosts()).forEach(h -> hosts.add(new BaselineGateway(picker.get())));
            return hosts;
        });
    }

    private static UniformRandomProvider rng(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    private static long mix(long a, long b) {
        long h = a * 0x9E3779B97F4A7C15L + b;
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }
}
