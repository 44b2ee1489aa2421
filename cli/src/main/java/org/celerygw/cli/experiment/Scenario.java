package org.celerygw.cli.experiment;

import java.util.List;

/**
 * What happens in a run.
 *
 * @param name its name
 * @param load the offered load; 1.0 is what the engines serve in full batches with each token computed once
 * @param reportDelayMs how late load reports and cache events arrive
 * @param slowEngines engines slowed down
 * @param slowFactor by how much
 * @param lostEngines engines that die
 * @param backAfterMs when lost engines return empty under another id; 0 for never
 * @param floodLoad the load that one customer adds
 */
record Scenario(
        String name,
        double load,
        long reportDelayMs,
        List<Integer> slowEngines,
        double slowFactor,
        List<Integer> lostEngines,
        double backAfterMs,
        double floodLoad) {
    static final double SPAN_MS = 300_000;
    static final double WARM_MS = 30_000;
    static final double FAULT_MS = 100_000;
    static final double FAULT_END_MS = 200_000;
    static final long USUAL_DELAY_MS = 250;
    private static final double FAULT_LOAD = 0.7;

    static Scenario atLoad(double load) {
        return new Scenario("load-" + load, load, USUAL_DELAY_MS, List.of(), 1, List.of(), 0, 0);
    }

    private static Scenario fault(String name, long delayMs, List<Integer> slow, List<Integer> lost, double backMs) {
        return new Scenario(name, FAULT_LOAD, delayMs, slow, slow.isEmpty() ? 1 : 4, lost, backMs, 0);
    }

    static List<Scenario> faults(int engines, int zones) {
        List<Integer> zone = java.util.stream.IntStream.range(0, engines)
                .filter(i -> i % zones == 0)
                .boxed()
                .toList();
        return List.of(
                fault("slow-engine", USUAL_DELAY_MS, List.of(2), List.of(), 0),
                fault("three-lost", USUAL_DELAY_MS, List.of(), List.of(1, 5, 9), 0),
                fault("reports-5s-late", 5_000, List.of(), List.of(), 0),
                fault("zone-gone", USUAL_DELAY_MS, List.of(), zone, FAULT_END_MS - FAULT_MS),
                new Scenario("flood", FAULT_LOAD, USUAL_DELAY_MS, List.of(), 1, List.of(), 0, 0.6));
    }
}
