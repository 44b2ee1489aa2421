package org.celerygw.cli.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.routing.CacheEvents;
import org.celerygw.core.routing.LoadReport;
import org.celerygw.standin.model.Deployment;
import org.celerygw.standin.model.EngineModel;
import org.celerygw.standin.model.EngineSpec;
import org.celerygw.standin.model.ModelCall;
import org.celerygw.standin.model.ProgramTrace;
import org.celerygw.standin.model.TraceGenerator;

/** Runs programs over hosts and engines in virtual time, in one thread; the same seed gives the same run. */
final class Simulation {
    static final long CALL_PATIENCE_MS = 120_000;
    /** The wall clock at the start of a run: 2027-01-01 UTC. */
    static final long START_MS = 1_798_761_600_000L;

    private static final int MAX_ATTEMPTS = 10;
    private static final double REPORT_MS = 250;
    private static final double EVENT_LOSS = 0.05;
    private static final double LIST_LAG_MS = 2_000;
    private static final double REFUSED_CONNECTION_MS = 20;
    private static final double RETRY_MS = 500;
    private static final double ZONE_MS = 1;
    private static final double DRAIN_MS = 600_000;

    private final Scenario scenario;
    private final Deployment deployment;
    private final EngineSpec spec;
    private final Measures measures;
    private final UniformRandomProvider rng;
    private final List<Gateway> hosts;
    private final List<AvailabilityZone> zones;
    private final List<EngineNode> nodes = new ArrayList<>();
    private final Set<Long> everHeld = new HashSet<>();
    private final Map<Long, SimCall> open = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private double nowMs;
    private long nextEvent;
    private long nextCall;
    private int liveRoots;

    private record Event(double atMs, long order, Runnable action) {}

    private Simulation(Scenario scenario, Deployment deployment, EngineSpec spec, Policies.Policy policy, long seed) {
        this.scenario = scenario;
        this.deployment = deployment;
        this.spec = spec;
        this.measures = new Measures(deployment, spec);
        this.rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed ^ 0x2545F4914F6CDD1DL);
        this.zones = IntStream.range(0, deployment.zones())
                .mapToObj(z -> new AvailabilityZone("zone" + z))
                .toList();
        this.hosts = policy.hosts().apply(new Policies.Setup(deployment, zones, seed));
    }

    /** Runs a scenario to its end and returns what was measured. */
    static Measures run(Scenario scenario, Deployment deployment, EngineSpec spec, Policies.Policy policy, long seed) {
        Simulation s = new Simulation(scenario, deployment, spec, policy, seed);
        s.plan(seed);
        s.loop();
        s.finish();
        return s.measures;
    }

    private void plan(long seed) {
        IntStream.range(0, deployment.engines()).forEach(i -> addNode(i, 0));
        announce();
        TraceGenerator source = new TraceGenerator(deployment, spec, seed);
        List<ProgramTrace> all = new ArrayList<>(source.generatePrograms(scenario.load(), Scenario.SPAN_MS));
        if (scenario.floodLoad() > 0) {
            all.addAll(source.generateFlood(0, scenario.floodLoad(), Scenario.FAULT_MS, Scenario.FAULT_END_MS));
        }
        liveRoots = all.size();
        all.forEach(t -> at(t.arriveMs(), () -> begin(t)));
        at(REPORT_MS, this::report);
        planFaults();
    }

    private void planFaults() {
        scenario.slowEngines().forEach(i -> {
            at(Scenario.FAULT_MS, () -> nodes.get(i).model.setSlowdown(scenario.slowFactor()));
            at(Scenario.FAULT_END_MS, () -> nodes.get(i).model.setSlowdown(1));
        });
        List<EngineNode> lost = scenario.lostEngines().stream().map(nodes::get).toList();
        if (lost.isEmpty()) {
            return;
        }
        at(Scenario.FAULT_MS, () -> lost.forEach(this::crash));
        at(Scenario.FAULT_MS + LIST_LAG_MS, () -> {
            lost.forEach(n -> n.listed = false);
            announce();
        });
        if (scenario.backAfterMs() > 0) {
            at(Scenario.FAULT_MS + scenario.backAfterMs() + LIST_LAG_MS, () -> {
                lost.forEach(n -> addNode(n.index, 1));
                announce();
            });
        }
    }

    private void addNode(int index, int incarnation) {
        AvailabilityZone zone = zones.get(index % zones.size());
        nodes.add(new EngineNode(index, incarnation, zone, new EngineModel(spec, everHeld)));
    }

    private void announce() {
        List<EngineNode> listed = nodes.stream().filter(n -> n.listed).toList();
        hosts.forEach(h -> h.engines(listed));
    }

    private void at(double atMs, Runnable action) {
        events.add(new Event(atMs, nextEvent++, action));
    }

    private void after(double delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    private void loop() {
        while (!events.isEmpty() && liveRoots > 0) {
            Event event = events.remove();
            if (event.atMs > Scenario.SPAN_MS + DRAIN_MS) {
                return;
            }
            nowMs = event.atMs;
            event.action.run();
        }
    }

    private void finish() {
        open.values().stream().map(c -> c.run.root).distinct().forEach(r -> measures.unfinished(r, nowMs));
        nodes.forEach(n -> measures.engine(n.model));
    }

    private long now() {
        return START_MS + (long) nowMs;
    }

    private void begin(ProgramTrace trace) {
        startTurn(new ProgramRun(trace, null));
    }

    private void startTurn(ProgramRun run) {
        if (run.root.failed) {
            return;
        }
        int host = Math.floorMod(run.trace.id().hashCode() * 31, hosts.size());
        SimCall call = new SimCall(nextCall++, run, host, nowMs);
        open.put(call.id, call);
        offer(call);
    }

    private void offer(SimCall call) {
        if (call.run.root.failed || nowMs > call.offeredMs + CALL_PATIENCE_MS) {
            fail(call);
            return;
        }
        long retryMs = hosts.get(call.host).offer(call, now());
        if (retryMs != Gateway.TAKEN) {
            measures.refused();
            retry(call, (double) retryMs);
            return;
        }
        pump(call.host);
    }

    /** A caller that was refused comes back after the hint, a little spread out, a limited number of times. */
    private void retry(SimCall call, double hintMs) {
        call.attempts++;
        if (call.attempts >= MAX_ATTEMPTS) {
            fail(call);
            return;
        }
        after(hintMs * (1 + rng.nextDouble() / 2), () -> offer(call));
    }

    private void fail(SimCall call) {
        open.remove(call.id);
        ProgramRun root = call.run.root;
        if (!root.failed) {
            root.failed = true;
            liveRoots--;
            measures.failed(root, nowMs);
        }
    }

    private void pump(int host) {
        for (Gateway.Move move : hosts.get(host).next(now())) {
            SimCall call = open.get(move.call());
            if (call == null) {
                continue;
            }
            if (move.node() == null) {
                measures.refused();
                retry(call, (double) move.retryAfterMs());
                continue;
            }
            start(call, move.node(), move.priority());
        }
    }

    private void start(SimCall call, EngineNode node, int priority) {
        call.node = node;
        call.startedMs = nowMs;
        node.calls.put(call.id, call);
        boolean near = zones.get(call.host % zones.size()).equals(node.zone);
        after(near ? 0 : ZONE_MS, () -> {
            if (!node.alive) {
                after(REFUSED_CONNECTION_MS, () -> lost(call));
                return;
            }
            node.model.submit(call.toModelCall(priority));
            step(node);
        });
    }

    private void step(EngineNode node) {
        if (node.stepping || !node.alive) {
            return;
        }
        double lengthMs = node.model.beginStep();
        if (lengthMs > 0) {
            node.stepping = true;
            after(lengthMs, () -> stepped(node, lengthMs));
        }
    }

    private void stepped(EngineNode node, double lengthMs) {
        node.stepping = false;
        if (!node.alive) {
            return;
        }
        EngineModel.Step step = node.model.endStep(nowMs);
        measures.tokens(step.generatedTokens(), lengthMs);
        step.firstTokenCalls().forEach(c -> first(node, c));
        step.completedCalls().forEach(c -> done(node, c));
        step(node);
    }

    private void first(EngineNode node, ModelCall c) {
        SimCall call = node.calls.get(c.id());
        measures.first(call, nowMs);
        hosts.get(call.host).first(call, now());
    }

    private void done(EngineNode node, ModelCall c) {
        SimCall call = node.calls.remove(c.id());
        open.remove(call.id);
        hosts.get(call.host).ended(call, true, now());
        call.run.attainedTokens += call.outputTokens + call.freshTokens();
        answered(call.run);
        pump(call.host);
    }

    private void answered(ProgramRun run) {
        ProgramTrace.Turn turn = run.trace.turns().get(run.turn);
        if (run.lastTurn()) {
            end(run);
            return;
        }
        run.toolDone = false;
        run.openSubAgents = turn.subAgents().size();
        turn.subAgents().forEach(s -> startTurn(new ProgramRun(s, run)));
        after(turn.toolMs(), () -> {
            run.toolDone = true;
            continueRun(run);
        });
    }

    private void continueRun(ProgramRun run) {
        if (run.toolDone && run.openSubAgents == 0) {
            run.turn++;
            startTurn(run);
        }
    }

    private void end(ProgramRun run) {
        releaseMemory(run);
        if (run.parent != null) {
            run.parent.openSubAgents--;
            continueRun(run.parent);
            return;
        }
        liveRoots--;
        measures.finished(run, nowMs);
    }

    private void releaseMemory(ProgramRun run) {
        int host = Math.floorMod(run.trace.id().hashCode() * 31, hosts.size());
        if (!hosts.get(host).programEnded(run, now())) {
            return;
        }
        int last = run.trace.turns().size() - 1;
        long[] hashes = run.trace.blockHashes(
                run.trace.promptTokens(last) + run.trace.turns().get(last).outputTokens());
        nodes.stream()
                .filter(n -> n.alive)
                .forEach(n -> n.model.dropIdleBlocks(hashes, run.trace.prefixHashes().length));
    }

    private void crash(EngineNode node) {
        node.alive = false;
        List<SimCall> calls = new ArrayList<>(node.calls.values());
        node.model.crash();
        calls.forEach(c -> after(REFUSED_CONNECTION_MS, () -> lost(c)));
    }

    private void lost(SimCall call) {
        if (call.node == null || call.node.calls.remove(call.id) == null) {
            return;
        }
        call.node = null;
        boolean again = hosts.get(call.host).ended(call, false, now());
        retry(call, again ? 1 : RETRY_MS);
    }

    private void report() {
        for (EngineNode node : nodes) {
            if (node.alive) {
                reportOne(node);
            }
        }
        after(REPORT_MS, this::report);
    }

    private void reportOne(EngineNode node) {
        EngineModel m = node.model;
        LoadReport report = new LoadReport(
                now(), m.runningCalls(), m.queuedCalls(), m.queuedPrefillTokens(), Math.round(m.oldestIdleMs(nowMs)));
        CacheEvents changes = new CacheEvents(node.eventBatches++, m.drainStored(), m.drainEvicted());
        boolean kept = rng.nextDouble() >= EVENT_LOSS;
        after((double) scenario.reportDelayMs(), () -> {
            hosts.forEach(h -> h.report(node, report));
            if (kept) {
                hosts.forEach(h -> h.cacheEvents(node, changes, now()));
            }
            IntStream.range(0, hosts.size()).forEach(this::pump);
        });
    }
}
