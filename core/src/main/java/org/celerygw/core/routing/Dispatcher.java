package org.celerygw.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;

/**
 * Orders, limits and routes the model calls of one host. The caller offers calls as they arrive, reports the events of
 * the engines, and calls {@link #nextDecisions} after each of these to get the calls to start. Not thread-safe: all methods must
 * be called on one thread.
 *
 * <pre>{@code
 * dispatcher.configure(engines, classes, quotas);
 * Admission admission = dispatcher.offer(item, nowMs);
 * dispatcher.nextDecisions(nowMs).forEach(this::perform);
 * dispatcher.callEnded(item.ticket(), true, outputTokens, nowMs);
 * }</pre>
 */
public final class Dispatcher {
    private static final long PREFIX_IDLE_TIMEOUT_MS = 600_000;
    private static final long NO_BACKEND_RETRY_MS = 1_000;
    private static final long MIN_RETRY_MS = 200;
    private static final long SLOT_REFRESH_MS = 1_000;
    private static final int MAX_UNROUTABLE_CALLS = 32;
    /**
     * The maximum wait of a new program is divided by 1 plus this factor times the rank, which sheds calls of low
     * classes first.
     */
    private static final long SHED_FACTOR_PER_RANK = 8;
    /** Engine priorities count tenths of a second from 2027-01-01 UTC; 32 bits cover 6 years before and after it. */
    private static final long PRIORITY_EPOCH_MS = 1_798_761_600_000L;

    private static final long PRIORITY_UNIT_MS = 100;

    private final DispatcherSettings settings;
    private final Map<BackendServerId, EngineState> engines = new HashMap<>();
    private final Map<Long, InFlightCall> inFlightCalls = new HashMap<>();
    private final List<Decision> pendingDrops = new ArrayList<>();
    private final CallQueue queue = new CallQueue();
    private final CallAverages averages = new CallAverages();
    private final ProgramPlacements placements = new ProgramPlacements();
    private final RetryBudget retryBudget = new RetryBudget();
    private final PrefixIndex prefixIndex = new PrefixIndex(PREFIX_IDLE_TIMEOUT_MS);
    private final FairShareAccounts fairShares;
    private final Router router;
    private Map<PriorityClassName, PriorityClassInfo> priorityClasses = Map.of();
    private double hostSlots = 1;
    private long slotsValidUntilMs = Long.MIN_VALUE;

    /**
     * Creates a dispatcher without engines.
     *
     * @param settings the weights and limits
     * @param zone the availability zone of this host, to prefer engines in the same zone
     * @param rng the random source for the sampling of engines
     */
    public Dispatcher(DispatcherSettings settings, AvailabilityZone zone, UniformRandomProvider rng) {
        this.settings = settings;
        this.fairShares = new FairShareAccounts(settings.fleetHosts());
        this.router = new Router(settings, zone, rng, averages, prefixIndex, placements);
    }

    /** A call that was started and has not ended, with the times from which the speed of its engine is estimated. */
    private static final class InFlightCall {
        final WorkItem item;
        final EngineState engine;
        final long startedAtMs;
        final double prefillTokens;
        long firstTokenAtMs;
        long lastSampleAtMs;
        int lastSampleTokens;

        InFlightCall(WorkItem item, EngineState engine, long startedAtMs, double prefillTokens) {
            this.item = item;
            this.engine = engine;
            this.startedAtMs = startedAtMs;
            this.prefillTokens = prefillTokens;
        }
    }

    /**
     * Applies a configuration. An engine that is no longer listed receives no new calls. An engine that is leaving
     * remains so, since a restarted engine has another id.
     *
     * @param engines the configured engines
     * @param classes the priority classes; a call of any other class is ordered after all of them
     * @param quotas the quotas of the customers that do not have the default share and limit
     */
    public void configure(List<EngineInfo> engines, List<PriorityClassInfo> classes, List<CustomerQuota> quotas) {
        this.priorityClasses = classes.stream().collect(Collectors.toMap(PriorityClassInfo::name, c -> c));
        fairShares.configure(quotas);
        Map<BackendServerId, EngineInfo> infosById =
                engines.stream().collect(Collectors.toMap(EngineInfo::id, e -> e, (a, b) -> b));
        this.engines.values().stream()
                .filter(e -> !infosById.containsKey(e.info.id()))
                .forEach(EngineState::markLeaving);
        infosById.values().forEach(this::updateEngine);
        slotsValidUntilMs = Long.MIN_VALUE;
        refreshRoutes();
    }

    private void updateEngine(EngineInfo info) {
        EngineState engine =
                engines.computeIfAbsent(info.id(), id -> new EngineState(info, settings.initialEngineCalls()));
        boolean leaving = engine.info.leaving() || info.leaving();
        engine.info = new EngineInfo(info.id(), info.zone(), info.models(), leaving);
    }

    private void refreshRoutes() {
        router.setEngines(engines.values().stream()
                .filter(EngineState::acceptsWork)
                .sorted((a, b) -> a.info.id().compareTo(b.info.id()))
                .toList());
    }

    /**
     * Queues a call or refuses it. A refused call has not run and will not run.
     *
     * @param item the call to queue
     * @param nowMs the current time, in milliseconds since 1970
     * @return the admission, or the reason of the refusal and the suggested delay before a retry
     */
    public Admission offer(WorkItem item, long nowMs) {
        Check.that(!isTracked(item.ticket()), "ticket is in use");
        int rank = rank(item.priorityClass());
        if (item.deadlineMs() <= nowMs) {
            return refuse(item, ErrorCode.DEADLINE_EXCEEDED, 0, "its deadline passed");
        }
        if (router.enginesServing(item.model()).isEmpty()) {
            return refuse(item, ErrorCode.NO_BACKEND, NO_BACKEND_RETRY_MS, "no engine serves " + item.model());
        }
        if (!fairShares.isBelowLimit(item.customer())) {
            long retryMs = Math.max(MIN_RETRY_MS, (long) averages.callMs());
            return refuse(item, ErrorCode.CUSTOMER_LIMIT, retryMs, "customer " + item.customer() + " is at its limit");
        }
        boolean firstCall = item.attainedTokens() == 0;
        long waitMs = expectedWaitMs(rank) + (firstCall ? router.engineWaitMs(item.model(), nowMs) : 0);
        if (waitMs > maxWaitMs(item, rank, nowMs)) {
            return refuse(
                    item, ErrorCode.OVERLOADED, Math.max(MIN_RETRY_MS, waitMs), "expected wait " + waitMs + " ms");
        }
        return enqueue(item, rank, waitMs, nowMs);
    }

    private Admission enqueue(WorkItem item, int rank, long waitMs, long nowMs) {
        long shareLeadMs = fairShares.callAdmitted(item.customer(), averages.callMs(), hostSlots(nowMs), nowMs);
        QueuedCall queued = new QueuedCall(item, rank, nowMs, orderMs(item, rank, shareLeadMs, nowMs));
        QueuedCall last = queue.last();
        if (queue.size() < settings.maxWaitingCalls() || last == null) {
            queue.add(queued);
            return Admission.ACCEPTED;
        }
        if (QueuedCall.QUEUE_ORDER.compare(queued, last) >= 0) {
            fairShares.callRemoved(item.customer());
            return refuse(item, ErrorCode.OVERLOADED, Math.max(MIN_RETRY_MS, waitMs), "the queue is full");
        }
        queue.add(queued);
        drop(
                last,
                ErrorCode.OVERLOADED,
                Math.max(MIN_RETRY_MS, waitMs),
                "the queue is full of calls that come before it",
                pendingDrops);
        return Admission.ACCEPTED;
    }

    private Admission refuse(WorkItem item, ErrorCode code, long retryAfterMs, String reason) {
        String line = "refuse: program " + item.program() + " with " + code + ": " + reason + ", class "
                + item.priorityClass() + ", retry after " + retryAfterMs + " ms";
        return new Admission(code, retryAfterMs, line);
    }

    /**
     * Returns the maximum expected wait of a call. A call of a program that has already been served may wait until its
     * deadline. The first call of a program may wait less, and the less the lower its class.
     */
    private long maxWaitMs(WorkItem item, int rank, long nowMs) {
        long untilDeadlineMs = item.deadlineMs() - nowMs;
        boolean firstCall = item.attainedTokens() == 0;
        return firstCall
                ? Math.min(untilDeadlineMs, settings.newProgramWaitMs() / (1 + SHED_FACTOR_PER_RANK * rank))
                : untilDeadlineMs;
    }

    private long expectedWaitMs(int rank) {
        double roundsAhead = queue.countUpToRank(rank) / Math.max(1.0, inFlightCalls.size());
        return (long) (roundsAhead * averages.callMs());
    }

    /**
     * Returns the number of calls that this host can run concurrently. The sum over all engines is refreshed once per
     * {@link #SLOT_REFRESH_MS}.
     */
    private double hostSlots(long nowMs) {
        if (nowMs >= slotsValidUntilMs) {
            double fleetSlots = engines.values().stream()
                    .filter(EngineState::acceptsWork)
                    .mapToDouble(EngineState::concurrencyLimit)
                    .sum();
            hostSlots = Math.max(1, fleetSlots / settings.fleetHosts());
            slotsValidUntilMs = nowMs + SLOT_REFRESH_MS;
        }
        return hostSlots;
    }

    private int rank(PriorityClassName name) {
        PriorityClassInfo info = priorityClasses.get(name);
        return info == null ? priorityClasses.size() : info.rank();
    }

    private long orderMs(WorkItem item, int rank, long shareLeadMs, long nowMs) {
        PriorityClassInfo info = priorityClasses.get(item.priorityClass());
        long ageingMs = info == null ? 0 : info.ageingMs();
        double attainedDelayMs = item.attainedTokens() / 1000.0 * settings.attainedDelayMsPerKilotoken();
        return nowMs
                + rank * ageingMs
                + shareLeadMs
                + (long) Math.min((double) settings.maxAttainedDelayMs(), attainedDelayMs);
    }

    /**
     * Decides which queued calls to start and which to fail.
     *
     * @param nowMs the current time, in milliseconds since 1970
     * @return the decisions, in the order in which to carry them out
     */
    public List<Decision> nextDecisions(long nowMs) {
        List<Decision> decisions = new ArrayList<>(pendingDrops);
        pendingDrops.clear();
        dropExpired(nowMs, decisions);
        startRoutable(nowMs, decisions);
        return decisions;
    }

    private void dropExpired(long nowMs, List<Decision> decisions) {
        for (QueuedCall queued = queue.firstExpired(nowMs); queued != null; queued = queue.firstExpired(nowMs)) {
            drop(queued, ErrorCode.DEADLINE_EXCEEDED, 0, "its deadline passed while it waited", decisions);
        }
    }

    private void drop(QueuedCall queued, ErrorCode code, long retryAfterMs, String reason, List<Decision> decisions) {
        queue.remove(queued);
        fairShares.callRemoved(queued.item().customer());
        String line = "drop: program " + queued.item().program() + " with " + code + ": " + reason;
        decisions.add(new Decision.Drop(queued.item().ticket(), code, retryAfterMs, line));
    }

    private void startRoutable(long nowMs, List<Decision> decisions) {
        int unroutable = 0;
        Iterator<QueuedCall> iterator = queue.inOrder();
        while (iterator.hasNext() && unroutable < MAX_UNROUTABLE_CALLS) {
            QueuedCall queued = iterator.next();
            Router.Route route = router.selectRoute(queued, nowMs);
            if (route == null) {
                unroutable++;
                continue;
            }
            queue.remove(iterator, queued);
            decisions.add(start(queued, route, nowMs));
        }
    }

    private Decision start(QueuedCall queued, Router.Route route, long nowMs) {
        WorkItem item = queued.item();
        EngineState engine = route.engine();
        double tokensAhead = engine.queuedPrefillTokens(nowMs);
        engine.callStarted(route.uncachedTokens(), nowMs);
        inFlightCalls.put(item.ticket(), new InFlightCall(item, engine, nowMs, tokensAhead + route.uncachedTokens()));
        placements.callStarted(item.program(), engine);
        prefixIndex.promptStarted(item.prefixHashes(), engine, nowMs);
        retryBudget.callStarted();
        return new Decision.Start(
                item.ticket(), engine.info.id(), enginePriority(queued, route), routeLine(queued, route, nowMs));
    }

    /**
     * Returns the priority inside the engine: the order of the queue, moved back by the time that the
     * prefill of the call takes.
     */
    private int enginePriority(QueuedCall queued, Router.Route route) {
        double prefillDelayMs =
                Math.min((double) settings.maxPrefillDelayMs(), route.prefillMs() * settings.prefillDelayFactor());
        long units = (queued.orderMs() + (long) prefillDelayMs - PRIORITY_EPOCH_MS) / PRIORITY_UNIT_MS;
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, units));
    }

    private String routeLine(QueuedCall queued, Router.Route route, long nowMs) {
        long fullPrefillMs =
                (long) (queued.item().promptTokens() * route.engine().prefillMsPerToken());
        return "route: program " + queued.item().program() + " to engine "
                + route.engine().info.id() + ": class "
                + queued.item().priorityClass() + ", waited " + (nowMs - queued.offeredAtMs()) + " ms, queue "
                + (long) route.queueMs() + " ms, prefill " + (long) route.prefillMs() + " ms of " + fullPrefillMs
                + " ms, "
                + router.affinity(route).text();
    }

    /**
     * Reports that the engine accepted a call.
     *
     * @param ticket the ticket of the call
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void callAccepted(long ticket, long nowMs) {
        InFlightCall call = inFlightCalls.get(ticket);
        if (call != null) {
            call.lastSampleAtMs = nowMs;
        }
    }

    /**
     * Reports that the first token of a call was received.
     *
     * @param ticket the ticket of the call
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void firstTokenReceived(long ticket, long nowMs) {
        InFlightCall call = inFlightCalls.get(ticket);
        if (call == null || call.firstTokenAtMs > 0) {
            return;
        }
        call.firstTokenAtMs = nowMs;
        call.lastSampleAtMs = nowMs;
        call.engine.recordPrefillSample((double) nowMs - call.startedAtMs, call.prefillTokens);
    }

    /**
     * Reports that further tokens of a call were received.
     *
     * @param ticket the ticket of the call
     * @param tokens the number of output tokens received so far
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void tokensReceived(long ticket, int tokens, long nowMs) {
        InFlightCall call = inFlightCalls.get(ticket);
        if (call != null && call.firstTokenAtMs > 0) {
            recordDecodeSample(call, tokens, nowMs);
        }
    }

    private void recordDecodeSample(InFlightCall call, int tokens, long nowMs) {
        int newTokens = tokens - call.lastSampleTokens;
        if (newTokens < EngineState.MIN_DECODE_SAMPLE_TOKENS) {
            return;
        }
        call.engine.recordDecodeSample((double) nowMs - call.lastSampleAtMs, newTokens, nowMs);
        averages.recordDecodeSample((double) (nowMs - call.lastSampleAtMs) / newTokens);
        call.lastSampleAtMs = nowMs;
        call.lastSampleTokens = tokens;
    }

    /**
     * Reports that a started call completed, failed or was cancelled.
     *
     * @param ticket the ticket of the call
     * @param ok false when the engine failed or the connection to it was lost; true otherwise, also for a
     *     cancelled call
     * @param outputTokens the number of output tokens in the response
     * @param nowMs the current time, in milliseconds since 1970
     * @return true when the caller should offer the call again: it failed, is repeatable and the retry budget
     *     permits it
     */
    public boolean callEnded(long ticket, boolean ok, int outputTokens, long nowMs) {
        InFlightCall call = inFlightCalls.remove(ticket);
        if (call == null) {
            return false;
        }
        call.engine.callEnded(call.startedAtMs, nowMs);
        fairShares.callRemoved(call.item.customer());
        if (!placements.isLive(call.item.program())) {
            // The engine may have allocated memory for this call after it confirmed the release of the program, so the
            // release is sent again.
            placements.scheduleRelease(call.engine.info.id(), call.item.program(), nowMs);
        }
        if (!ok) {
            call.engine.circuitBreaker.recordFailure(nowMs);
            return call.item.repeatable() && retryBudget.tryAcquire();
        }
        callSucceeded(call, outputTokens, nowMs);
        return false;
    }

    private void callSucceeded(InFlightCall call, int outputTokens, long nowMs) {
        call.engine.circuitBreaker.recordSuccess();
        averages.recordCall((double) nowMs - call.startedAtMs, outputTokens);
        if (call.firstTokenAtMs > 0) {
            recordDecodeSample(call, outputTokens, nowMs);
        }
        List<Long> hashes = call.item.prefixHashes();
        int blocks = hashes.size();
        if (blocks > 0) {
            prefixIndex.promptUsed(hashes.get(blocks - 1), call.engine, nowMs);
            int outputBlocks = outputTokens / WorkItem.BLOCK_TOKENS;
            placements.callSucceeded(
                    call.item.program(),
                    new ProgramPlacements.CachedPrompt(call.engine, blocks, hashes.get(blocks - 1), outputBlocks));
        }
    }

    /**
     * Removes a call from the queue after its caller has disconnected. A call that was started is not affected: it must
     * be cancelled at its engine and then reported by {@link #callEnded}.
     *
     * @param ticket the ticket of the call
     * @return true when the call was in the queue and so has not run
     */
    public boolean cancelWaiting(long ticket) {
        QueuedCall queued = queue.get(ticket);
        if (queued == null) {
            return false;
        }
        queue.remove(queued);
        fairShares.callRemoved(queued.item().customer());
        return true;
    }

    /**
     * Updates the known load of an engine.
     *
     * @param engine the engine that sent the report
     * @param report the load at the engine
     */
    public void loadReported(BackendServerId engine, LoadReport report) {
        EngineState state = engines.get(engine);
        if (state != null) {
            state.loadReported(report, settings.engineQueue());
        }
    }

    /**
     * Updates the known prefix cache of an engine. The events arrive late, and batches may be missing.
     *
     * @param engine the engine that published the events
     * @param events the blocks that were added and evicted
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void cacheChanged(BackendServerId engine, CacheEvents events, long nowMs) {
        EngineState state = engines.get(engine);
        if (state != null) {
            prefixIndex.blocksAdded(events.addedHashes(), state, nowMs);
            prefixIndex.blocksRemoved(state, events.removedHashes());
        }
    }

    /**
     * Reports that an engine is leaving. It receives no new calls from now on.
     *
     * @param engine the engine that is leaving
     */
    public void engineLeaving(BackendServerId engine) {
        EngineState state = engines.get(engine);
        if (state != null) {
            state.markLeaving();
            refreshRoutes();
        }
    }

    /**
     * Reports that an engine was lost together with its memory. The calls started on it must still be reported by
     * {@link #callEnded}.
     *
     * @param engine the engine that was lost
     */
    public void engineLost(BackendServerId engine) {
        EngineState state = engines.remove(engine);
        if (state != null) {
            state.markLost();
            refreshRoutes();
        }
        placements.engineLost(engine);
    }

    /**
     * Reports that a program ended, and schedules the release of the memory that engines hold for it.
     *
     * @param program the program that ended
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void programEnded(ProgramId program, long nowMs) {
        placements.programEnded(program, nowMs);
    }

    /**
     * Removes a program that another host now owns. The new owner is responsible for releasing the program's memory.
     *
     * @param program the program that moved
     */
    public void programMoved(ProgramId program) {
        placements.programMoved(program);
    }

    /**
     * Returns the release requests to send now. Each is returned again at an interval until it is confirmed.
     *
     * @param nowMs the current time, in milliseconds since 1970
     * @return the requests that are due
     */
    public List<ReleaseRequest> dueReleases(long nowMs) {
        return placements.dueReleases(nowMs, settings.releaseRetryIntervalMs());
    }

    /**
     * Reports that an engine confirmed that it holds no memory for a program.
     *
     * @param engine the engine that confirmed
     * @param program the program whose memory was released
     */
    public void releaseConfirmed(BackendServerId engine, ProgramId program) {
        placements.releaseConfirmed(engine, program);
    }

    /**
     * Schedules the release of the memory that an engine holds for programs that are no longer alive. Such memory
     * remains when the owner of a program fails before it releases the memory.
     *
     * @param engine the engine that holds the memory
     * @param held the programs for which the engine reports memory, limited to those that this host is responsible for
     * @param alive tests whether a program is alive on any host
     * @param nowMs the current time, in milliseconds since 1970
     */
    public void releaseOrphaned(
            BackendServerId engine, Collection<ProgramId> held, Predicate<ProgramId> alive, long nowMs) {
        placements.releaseOrphaned(engine, held, alive, nowMs);
    }

    /**
     * Returns the number of calls in the queue.
     *
     * @return the number of queued calls
     */
    public int waitingCalls() {
        return queue.size();
    }

    /**
     * Returns the number of calls that were started and have not ended.
     *
     * @return the number of calls in flight
     */
    public int runningCalls() {
        return inFlightCalls.size();
    }

    private boolean isTracked(long ticket) {
        return inFlightCalls.containsKey(ticket) || queue.get(ticket) != null;
    }
}
