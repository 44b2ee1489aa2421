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
 * Orders, limits and routes the model calls of one host. Offer calls as they come, tell it what the engines do, and
 * ask {@link #next} after each what to start. One thread only.
 *
 * <pre>{@code
 * dispatcher.configure(engines, classes, customers);
 * Admission admission = dispatcher.offer(item, nowMs);
 * dispatcher.next(nowMs).forEach(this::perform);
 * dispatcher.ended(item.ticket(), true, outputTokens, nowMs);
 * }</pre>
 */
public final class Dispatcher {
    private static final long PREFIX_IDLE_MS = 600_000;
    private static final long NO_BACKEND_RETRY_MS = 1_000;
    private static final long MIN_RETRY_MS = 200;
    private static final long SLOTS_MS = 1_000;
    private static final int MAX_BLOCKED = 32;
    /** How much sooner the first calls of each lower class are refused. */
    private static final long SHED_STEP = 8;
    /** Engine priorities count tenths of a second from 2027-01-01 UTC; 32 bits last 6 years each way. */
    private static final long PRIORITY_EPOCH_MS = 1_798_761_600_000L;

    private static final long PRIORITY_UNIT_MS = 100;

    private final DispatcherSettings settings;
    private final Map<BackendServerId, Engine> engines = new HashMap<>();
    private final Map<Long, Flight> flights = new HashMap<>();
    private final List<Decision> shed = new ArrayList<>();
    private final Queue queue = new Queue();
    private final Usual usual = new Usual();
    private final Programs programs = new Programs();
    private final RetryBudget retries = new RetryBudget();
    private final PrefixIndex prefixes = new PrefixIndex(PREFIX_IDLE_MS);
    private final Customers customers;
    private final Router router;
    private Map<PriorityClassName, ClassInfo> classes = Map.of();
    private double slots = 1;
    private long slotsUntilMs = Long.MIN_VALUE;

    /**
     * Makes a dispatcher that knows no engine yet.
     *
     * @param settings how it weighs and limits
     * @param zone where this host runs
     * @param rng the source of its random choices
     */
    public Dispatcher(DispatcherSettings settings, AvailabilityZone zone, UniformRandomProvider rng) {
        this.settings = settings;
        this.customers = new Customers(settings.fleetHosts());
        this.router = new Router(settings, zone, rng, usual, prefixes, programs);
    }

    /** A call that was started and has not ended. */
    private static final class Flight {
        final WorkItem item;
        final Engine engine;
        final long startedMs;
        final double prefillTokens;
        long firstMs;
        long seenMs;
        int seenTokens;

        Flight(WorkItem item, Engine engine, long startedMs, double prefillTokens) {
            this.item = item;
            this.engine = engine;
            this.startedMs = startedMs;
            this.prefillTokens = prefillTokens;
        }
    }

    /**
     * Puts a configuration in force. An engine that is not listed any more takes no new work; one that is leaving
     * stays so, since a restarted engine has another id.
     *
     * @param engines the engines
     * @param classes the priority classes; a call of another class is ordered after all of them
     * @param shares the customers that have a share or a limit of their own
     */
    public void configure(List<EngineInfo> engines, List<ClassInfo> classes, List<CustomerShare> shares) {
        this.classes = classes.stream().collect(Collectors.toMap(ClassInfo::name, c -> c));
        customers.configure(shares);
        Map<BackendServerId, EngineInfo> listed =
                engines.stream().collect(Collectors.toMap(EngineInfo::id, e -> e, (a, b) -> b));
        this.engines.values().stream()
                .filter(e -> !listed.containsKey(e.info.id()))
                .forEach(Engine::leave);
        listed.values().forEach(this::update);
        slotsUntilMs = Long.MIN_VALUE;
        refreshRoutes();
    }

    private void update(EngineInfo info) {
        Engine known = engines.computeIfAbsent(info.id(), id -> new Engine(info, settings.engineLimit()));
        boolean leaving = known.info.leaving() || info.leaving();
        known.info = new EngineInfo(info.id(), info.zone(), info.models(), leaving);
    }

    private void refreshRoutes() {
        router.setEngines(engines.values().stream()
                .filter(Engine::takesWork)
                .sorted((a, b) -> a.info.id().compareTo(b.info.id()))
                .toList());
    }

    /**
     * Takes a call into the queue or refuses it. A refused call did not run and will not.
     *
     * @param item the call
     * @param nowMs the time now
     * @return whether it was taken, or why not and when to retry
     */
    public Admission offer(WorkItem item, long nowMs) {
        Check.that(!known(item.ticket()), "ticket is in use");
        int rank = rank(item.priorityClass());
        if (item.deadlineMs() <= nowMs) {
            return refuse(item, ErrorCode.DEADLINE_EXCEEDED, 0, "its deadline passed");
        }
        if (router.serving(item.model()).isEmpty()) {
            return refuse(item, ErrorCode.NO_BACKEND, NO_BACKEND_RETRY_MS, "no engine serves " + item.model());
        }
        if (!customers.mayEnter(item.customer())) {
            long retryMs = Math.max(MIN_RETRY_MS, (long) usual.callMs());
            return refuse(item, ErrorCode.CUSTOMER_LIMIT, retryMs, "customer " + item.customer() + " is at its limit");
        }
        boolean first = item.attainedTokens() == 0;
        long waitMs = expectedWaitMs(rank) + (first ? router.engineWaitMs(item.model(), nowMs) : 0);
        if (waitMs > patienceMs(item, rank, nowMs)) {
            return refuse(
                    item, ErrorCode.OVERLOADED, Math.max(MIN_RETRY_MS, waitMs), "expected wait " + waitMs + " ms");
        }
        return enqueue(item, rank, waitMs, nowMs);
    }

    private Admission enqueue(WorkItem item, int rank, long waitMs, long nowMs) {
        long aheadMs = customers.enter(item.customer(), usual.callMs(), slots(nowMs), nowMs);
        Waiting waiting = new Waiting(item, rank, nowMs, orderMs(item, rank, aheadMs, nowMs));
        Waiting last = queue.last();
        if (queue.size() < settings.maxWaiting() || last == null) {
            queue.add(waiting);
            return Admission.ACCEPTED;
        }
        if (Waiting.ORDER.compare(waiting, last) >= 0) {
            customers.leave(item.customer());
            return refuse(item, ErrorCode.OVERLOADED, Math.max(MIN_RETRY_MS, waitMs), "the queue is full");
        }
        queue.add(waiting);
        drop(last, ErrorCode.OVERLOADED, Math.max(MIN_RETRY_MS, waitMs), "calls of better order fill the queue", shed);
        return Admission.ACCEPTED;
    }

    private Admission refuse(WorkItem item, ErrorCode code, long retryAfterMs, String reason) {
        String line = "refuse: program " + item.program() + " with " + code + ": " + reason + ", class "
                + item.priorityClass() + ", retry after " + retryAfterMs + " ms";
        return new Admission(code, retryAfterMs, line);
    }

    /** A program under way waits as long as its caller does; a new one only if it starts soon, low classes first. */
    private long patienceMs(WorkItem item, int rank, long nowMs) {
        long untilDeadlineMs = item.deadlineMs() - nowMs;
        boolean first = item.attainedTokens() == 0;
        return first
                ? Math.min(untilDeadlineMs, settings.newProgramWaitMs() / (1 + SHED_STEP * rank))
                : untilDeadlineMs;
    }

    private long expectedWaitMs(int rank) {
        double turnsAhead = queue.atOrBefore(rank) / Math.max(1.0, flights.size());
        return (long) (turnsAhead * usual.callMs());
    }

    /** The calls that this host can run at once; summed over all engines only now and then. */
    private double slots(long nowMs) {
        if (nowMs >= slotsUntilMs) {
            double all = engines.values().stream()
                    .filter(Engine::takesWork)
                    .mapToDouble(Engine::limit)
                    .sum();
            slots = Math.max(1, all / settings.fleetHosts());
            slotsUntilMs = nowMs + SLOTS_MS;
        }
        return slots;
    }

    private int rank(PriorityClassName name) {
        ClassInfo info = classes.get(name);
        return info == null ? classes.size() : info.rank();
    }

    private long orderMs(WorkItem item, int rank, long aheadMs, long nowMs) {
        ClassInfo info = classes.get(item.priorityClass());
        long ageingMs = info == null ? 0 : info.ageingMs();
        double attainedMs = item.attainedTokens() / 1000.0 * settings.attainedWeightMs();
        return nowMs + rank * ageingMs + aheadMs + (long) Math.min((double) settings.attainedCapMs(), attainedMs);
    }

    /**
     * Decides what to do now.
     *
     * @param nowMs the time now
     * @return calls to start and calls to fail, in order
     */
    public List<Decision> next(long nowMs) {
        List<Decision> out = new ArrayList<>(shed);
        shed.clear();
        dropLate(nowMs, out);
        startWaiting(nowMs, out);
        return out;
    }

    private void dropLate(long nowMs, List<Decision> out) {
        for (Waiting w = queue.expired(nowMs); w != null; w = queue.expired(nowMs)) {
            drop(w, ErrorCode.DEADLINE_EXCEEDED, 0, "its deadline passed while it waited", out);
        }
    }

    private void drop(Waiting w, ErrorCode code, long retryAfterMs, String reason, List<Decision> out) {
        queue.remove(w);
        customers.leave(w.item().customer());
        String line = "drop: program " + w.item().program() + " with " + code + ": " + reason;
        out.add(new Decision.Drop(w.item().ticket(), code, retryAfterMs, line));
    }

    private void startWaiting(long nowMs, List<Decision> out) {
        int blocked = 0;
        Iterator<Waiting> at = queue.inOrder();
        while (at.hasNext() && blocked < MAX_BLOCKED) {
            Waiting w = at.next();
            Router.Route route = router.route(w, nowMs);
            if (route == null) {
                blocked++;
                continue;
            }
            queue.remove(at, w);
            out.add(start(w, route, nowMs));
        }
    }

    private Decision start(Waiting w, Router.Route route, long nowMs) {
        WorkItem item = w.item();
        Engine engine = route.engine();
        double ahead = engine.queuedTokens(nowMs);
        engine.started(route.missTokens(), nowMs);
        flights.put(item.ticket(), new Flight(item, engine, nowMs, ahead + route.missTokens()));
        programs.started(item.program(), engine);
        prefixes.add(item.prefixHashes(), engine, nowMs);
        retries.started();
        return new Decision.Start(item.ticket(), engine.info.id(), priority(w, route), line(w, route, nowMs));
    }

    /** The engine's order: that of the queue, with a call that has little to compute before one that has much. */
    private int priority(Waiting w, Router.Route route) {
        double behindMs = Math.min((double) settings.prefillCapMs(), route.rebuildMs() * settings.prefillWeight());
        long units = (w.orderMs() + (long) behindMs - PRIORITY_EPOCH_MS) / PRIORITY_UNIT_MS;
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, units));
    }

    private String line(Waiting w, Router.Route route, long nowMs) {
        long wholeMs = (long) (w.item().promptTokens() * route.engine().prefillMs());
        return "route: program " + w.item().program() + " to engine "
                + route.engine().info.id() + ": class "
                + w.item().priorityClass() + ", waited " + (nowMs - w.offeredMs()) + " ms, queue "
                + (long) route.queueMs() + " ms, rebuild " + (long) route.rebuildMs() + " ms of " + wholeMs + " ms, "
                + router.affinity(route).text();
    }

    /**
     * The engine accepted the call.
     *
     * @param ticket the call
     * @param nowMs the time now
     */
    public void started(long ticket, long nowMs) {
        Flight f = flights.get(ticket);
        if (f != null) {
            f.seenMs = nowMs;
        }
    }

    /**
     * The first token came.
     *
     * @param ticket the call
     * @param nowMs the time now
     */
    public void firstToken(long ticket, long nowMs) {
        Flight f = flights.get(ticket);
        if (f == null || f.firstMs > 0) {
            return;
        }
        f.firstMs = nowMs;
        f.seenMs = nowMs;
        f.engine.learnPrefill((double) nowMs - f.startedMs, f.prefillTokens);
    }

    /**
     * More tokens came.
     *
     * @param ticket the call
     * @param tokens the answer's tokens so far
     * @param nowMs the time now
     */
    public void progress(long ticket, int tokens, long nowMs) {
        Flight f = flights.get(ticket);
        if (f != null && f.firstMs > 0) {
            learnToken(f, tokens, nowMs);
        }
    }

    private void learnToken(Flight f, int tokens, long nowMs) {
        int fresh = tokens - f.seenTokens;
        if (fresh < Engine.MIN_OUTPUT_TOKENS) {
            return;
        }
        f.engine.learnToken((double) nowMs - f.seenMs, fresh, nowMs);
        usual.token((double) (nowMs - f.seenMs) / fresh);
        f.seenMs = nowMs;
        f.seenTokens = tokens;
    }

    /**
     * A started call ended, was cancelled or failed.
     *
     * @param ticket the call
     * @param ok true when the engine answered; false when it failed or was lost
     * @param outputTokens the answer's tokens
     * @param nowMs the time now
     * @return true when the call failed, may be repeated and the retry budget has room: offer it again
     */
    public boolean ended(long ticket, boolean ok, int outputTokens, long nowMs) {
        Flight f = flights.remove(ticket);
        if (f == null) {
            return false;
        }
        f.engine.ended(f.startedMs, nowMs);
        customers.leave(f.item.customer());
        if (!programs.isLive(f.item.program())) {
            // The engine may have kept memory for this call after the program's release was confirmed.
            programs.release(f.engine.info.id(), f.item.program(), nowMs);
        }
        if (!ok) {
            f.engine.health.failed(nowMs);
            return f.item.repeatable() && retries.take();
        }
        answered(f, outputTokens, nowMs);
        return false;
    }

    private void answered(Flight f, int outputTokens, long nowMs) {
        f.engine.health.succeeded();
        usual.ended((double) nowMs - f.startedMs, outputTokens);
        if (f.firstMs > 0) {
            learnToken(f, outputTokens, nowMs);
        }
        List<Long> hashes = f.item.prefixHashes();
        int blocks = hashes.size();
        if (blocks > 0) {
            prefixes.used(hashes.get(blocks - 1), f.engine, nowMs);
            int answerBlocks = outputTokens / WorkItem.BLOCK_TOKENS;
            programs.answered(
                    f.item.program(), new Programs.Tail(f.engine, blocks, hashes.get(blocks - 1), answerBlocks));
        }
    }

    /**
     * Takes a call out of the queue because its caller went away; a started one is cancelled at its engine and then
     * reported by {@link #ended}.
     *
     * @param ticket the call
     * @return true when it was waiting here, and so did not run
     */
    public boolean cancelled(long ticket) {
        Waiting w = queue.get(ticket);
        if (w == null) {
            return false;
        }
        queue.remove(w);
        customers.leave(w.item().customer());
        return true;
    }

    /**
     * An engine reported its load.
     *
     * @param engine the engine
     * @param report its figures
     */
    public void loadReport(BackendServerId engine, LoadReport report) {
        Engine e = engines.get(engine);
        if (e != null) {
            e.reported(report, settings.engineQueue());
        }
    }

    /**
     * An engine published changes of its cache, late; batches may be missing.
     *
     * @param engine the engine
     * @param events the changes
     * @param nowMs the time now
     */
    public void cacheEvents(BackendServerId engine, CacheEvents events, long nowMs) {
        Engine e = engines.get(engine);
        if (e != null) {
            prefixes.added(events.added(), e, nowMs);
            prefixes.removed(e, events.removed());
        }
    }

    /**
     * An engine is leaving: it gets no new work from now on.
     *
     * @param engine the engine
     */
    public void leaving(BackendServerId engine) {
        Engine e = engines.get(engine);
        if (e != null) {
            e.leave();
            refreshRoutes();
        }
    }

    /**
     * An engine is gone with its memory. Calls started on it still need {@link #ended}.
     *
     * @param engine the engine
     */
    public void gone(BackendServerId engine) {
        Engine e = engines.remove(engine);
        if (e != null) {
            e.markGone();
            refreshRoutes();
        }
        programs.gone(engine);
    }

    /**
     * A program ended: what engines hold for it is to be released.
     *
     * @param program the program
     * @param nowMs the time now
     */
    public void programEnded(ProgramId program, long nowMs) {
        programs.ended(program, nowMs);
    }

    /**
     * Another host owns the program now; this one forgets it and leaves its memory to the new owner.
     *
     * @param program the program
     */
    public void programMoved(ProgramId program) {
        programs.moved(program);
    }

    /**
     * Returns the release orders to send now; each comes again until confirmed.
     *
     * @param nowMs the time now
     * @return the orders
     */
    public List<Release> releases(long nowMs) {
        return programs.due(nowMs, settings.releaseRetryMs());
    }

    /**
     * An engine confirmed that it holds nothing for the program.
     *
     * @param engine the engine
     * @param program the program
     */
    public void released(BackendServerId engine, ProgramId program) {
        programs.confirmed(engine, program);
    }

    /**
     * Compares what an engine holds with the programs that are alive and plans the release of the rest. This finds
     * the memory of programs whose owner died before it could release it.
     *
     * @param engine the engine
     * @param held the programs that the engine says it holds memory for, of those that this host answers for
     * @param alive tells whether a program is alive anywhere
     * @param nowMs the time now
     */
    public void sweep(BackendServerId engine, Collection<ProgramId> held, Predicate<ProgramId> alive, long nowMs) {
        programs.sweep(engine, held, alive, nowMs);
    }

    /**
     * Returns the calls that wait here.
     *
     * @return the queue's length
     */
    public int waitingCalls() {
        return queue.size();
    }

    /**
     * Returns the calls that were started and have not ended.
     *
     * @return their number
     */
    public int runningCalls() {
        return flights.size();
    }

    private boolean known(long ticket) {
        return flights.containsKey(ticket) || queue.get(ticket) != null;
    }
}
