package org.celerygw.cli.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.routing.Admission;
import org.celerygw.core.routing.CacheEvents;
import org.celerygw.core.routing.Decision;
import org.celerygw.core.routing.Dispatcher;
import org.celerygw.core.routing.DispatcherSettings;
import org.celerygw.core.routing.EngineInfo;
import org.celerygw.core.routing.LoadReport;
import org.celerygw.core.routing.PriorityClassInfo;
import org.celerygw.core.routing.WorkItem;
import org.celerygw.standin.model.Deployment;

/** The product's own policy. */
final class DispatcherGateway implements Gateway {
    static final long AGEING_MS = 10_000;
    private static final ModelName MODEL = new ModelName("model");
    private static final int MAX_OUTPUT_TOKENS = 4_096;
    private static final long PROGRAM_DEADLINE_MS = 600_000;

    private final Dispatcher dispatcher;
    private final List<PriorityClassInfo> classes;
    private Map<BackendServerId, EngineNode> nodes = Map.of();

    DispatcherGateway(DispatcherSettings settings, Deployment deployment, AvailabilityZone zone, long seed) {
        dispatcher = new Dispatcher(settings, zone, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
        classes = deployment.programClasses().stream()
                .map(m -> new PriorityClassInfo(name(m.rank()), m.rank(), AGEING_MS))
                .toList();
    }

    private static PriorityClassName name(int rank) {
        return new PriorityClassName("rank" + rank);
    }

    @Override
    public long offer(SimCall call, long nowMs) {
        Admission admission = dispatcher.offer(item(call), nowMs);
        return admission.accepted() ? TAKEN : Math.max(1, admission.retryAfterMs());
    }

    private static WorkItem item(SimCall call) {
        int blocks = call.promptTokens / WorkItem.BLOCK_TOKENS;
        List<Long> hashes =
                IntStream.range(0, blocks).mapToObj(i -> call.hashes[i]).toList();
        return new WorkItem(
                call.id,
                new ProgramId(call.run.trace.id()),
                new CustomerId("c" + call.run.trace.customer()),
                name(call.run.trace.rank()),
                MODEL,
                Simulation.START_MS + (long) call.offeredMs + Simulation.CALL_PATIENCE_MS,
                Simulation.START_MS + (long) call.offeredMs + PROGRAM_DEADLINE_MS,
                call.run.attainedTokens,
                call.promptTokens,
                MAX_OUTPUT_TOKENS,
                hashes,
                true);
    }

    @Override
    public List<Move> next(long nowMs) {
        return dispatcher.nextDecisions(nowMs).stream().map(this::move).toList();
    }

    private Move move(Decision decision) {
        if (decision instanceof Decision.Start s) {
            return new Move(s.ticket(), nodes.get(s.engine()), s.enginePriority(), 0);
        }
        Decision.Drop d = (Decision.Drop) decision;
        return new Move(d.ticket(), null, 0, Math.max(1, d.retryAfterMs()));
    }

    @Override
    public void first(SimCall call, long nowMs) {
        dispatcher.firstTokenReceived(call.id, nowMs);
    }

    @Override
    public boolean ended(SimCall call, boolean ok, long nowMs) {
        return dispatcher.callEnded(call.id, ok, call.outputTokens, nowMs);
    }

    @Override
    public boolean cancelled(SimCall call) {
        return dispatcher.cancelWaiting(call.id);
    }

    @Override
    public void engines(List<EngineNode> listed) {
        Map<BackendServerId, EngineNode> now = new HashMap<>();
        listed.forEach(n -> now.put(n.id, n));
        Set<BackendServerId> lost = new HashSet<>(nodes.keySet());
        lost.removeAll(now.keySet());
        nodes = now;
        List<EngineInfo> infos = new ArrayList<>();
        listed.forEach(n -> infos.add(new EngineInfo(n.id, n.zone, Set.of(MODEL), false)));
        dispatcher.configure(infos, classes, List.of());
        lost.forEach(dispatcher::engineLost);
    }

    @Override
    public void report(EngineNode node, LoadReport report) {
        dispatcher.loadReported(node.id, report);
    }

    @Override
    public void cacheEvents(EngineNode node, CacheEvents events, long nowMs) {
        dispatcher.cacheChanged(node.id, events, nowMs);
    }

    @Override
    public boolean programEnded(ProgramRun run, long nowMs) {
        ProgramId program = new ProgramId(run.trace.id());
        dispatcher.programEnded(program, nowMs);
        dispatcher.dueReleases(nowMs).forEach(r -> dispatcher.releaseConfirmed(r.engine(), r.program()));
        return true;
    }
}
