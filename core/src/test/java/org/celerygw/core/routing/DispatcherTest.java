package org.celerygw.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.apache.commons.rng.simple.RandomSource;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.ModelName;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Routing, queue order, refusals, ejection, release of engine memory and retries of the dispatcher. */
public class DispatcherTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("a");
    private static final ModelName MODEL = new ModelName("m");
    private static final PriorityClassName SESSION = new PriorityClassName("session");
    private static final PriorityClassName BATCH = new PriorityClassName("batch");
    private static final long NOW_MS = 1_000_000;

    private Dispatcher dispatcher;

    @BeforeMethod
    public void createDefaultDispatcher() {
        dispatcher = createDispatcher(DispatcherSettings.DEFAULT, 3, List.of());
    }

    private static Dispatcher createDispatcher(DispatcherSettings settings, int engines, List<CustomerQuota> quotas) {
        Dispatcher created = new Dispatcher(settings, ZONE, RandomSource.XO_RO_SHI_RO_128_PP.create(7L));
        List<EngineInfo> infos = IntStream.range(0, engines)
                .mapToObj(i -> new EngineInfo(engine(i), ZONE, Set.of(MODEL), false))
                .toList();
        created.configure(
                infos,
                List.of(new PriorityClassInfo(SESSION, 0, 10_000), new PriorityClassInfo(BATCH, 1, 10_000)),
                quotas);
        return created;
    }

    private static BackendServerId engine(int i) {
        return new BackendServerId("e" + i);
    }

    private static WorkItem item(
            long ticket, String program, PriorityClassName priorityClass, long attainedTokens, int blocks) {
        List<Long> hashes = LongStream.range(0, blocks)
                .mapToObj(b -> program.hashCode() * 1_000_003L + b)
                .toList();
        return new WorkItem(
                ticket,
                new ProgramId(program),
                new CustomerId("c"),
                priorityClass,
                MODEL,
                NOW_MS + 60_000,
                NOW_MS + 600_000,
                attainedTokens,
                blocks * WorkItem.BLOCK_TOKENS,
                100,
                hashes,
                true);
    }

    private Decision.Start offerAndStart(WorkItem item, long nowMs) {
        assertTrue(dispatcher.offer(item, nowMs).accepted());
        List<Decision> decisions = dispatcher.nextDecisions(nowMs);
        assertEquals(decisions.size(), 1);
        return (Decision.Start) decisions.get(0);
    }

    @Test
    public void programReturnsToTheEngineThatHoldsItsPrefix() {
        Decision.Start first = offerAndStart(item(1, "p", SESSION, 0, 100), NOW_MS);
        dispatcher.callEnded(1, true, 128, NOW_MS + 1000);
        Decision.Start second = offerAndStart(item(2, "p", SESSION, 500, 110), NOW_MS + 2000);
        assertEquals(second.engine(), first.engine());
        assertTrue(second.logLine().endsWith("affinity kept"), second.logLine());
    }

    @Test
    public void evictedPrefixIsNotCountedAsCached() {
        Decision.Start first = offerAndStart(item(1, "p", SESSION, 0, 100), NOW_MS);
        dispatcher.callEnded(1, true, 128, NOW_MS + 1000);
        dispatcher.cacheChanged(
                first.engine(),
                new CacheEvents(1, List.of(), item(1, "p", SESSION, 0, 100).prefixHashes()),
                NOW_MS);
        Decision.Start second = offerAndStart(item(2, "p", SESSION, 500, 110), NOW_MS + 2000);
        assertTrue(second.logLine().endsWith("no cache"), second.logLine());
    }

    @Test
    public void programMovesWhenTheEngineHoldingItsPrefixIsOverloaded() {
        Decision.Start first = offerAndStart(item(1, "p", SESSION, 0, 20), NOW_MS);
        dispatcher.callEnded(1, true, 10, NOW_MS + 1000);
        dispatcher.loadReported(first.engine(), new LoadReport(NOW_MS + 1900, 40, 0, 200_000, 0));
        Decision.Start second = offerAndStart(item(2, "p", SESSION, 500, 22), NOW_MS + 2000);
        assertFalse(second.engine().equals(first.engine()));
        assertTrue(second.logLine().endsWith("affinity yielded"), second.logLine());
    }

    @Test
    public void leavingEngineReceivesNoCallsAfterReconfiguration() {
        dispatcher.engineLeaving(engine(0));
        dispatcher.engineLeaving(engine(1));
        dispatcher.configure(
                IntStream.range(0, 3)
                        .mapToObj(i -> new EngineInfo(engine(i), ZONE, Set.of(MODEL), false))
                        .toList(),
                List.of(),
                List.of());
        for (int i = 0; i < 20; i++) {
            assertEquals(offerAndStart(item(i, "p" + i, SESSION, 0, 5), NOW_MS).engine(), engine(2));
        }
    }

    @Test
    public void sessionCallStartsBeforeEarlierBatchCall() {
        DispatcherSettings defaults = DispatcherSettings.DEFAULT;
        dispatcher = createDispatcher(
                new DispatcherSettings(1, defaults.sampledEngines(), 10, 5_000, 1, 0, 1, 0, 0, 0, 0, 0, 0, 1_000),
                1,
                List.of());
        offerAndStart(item(1, "p1", BATCH, 0, 1), NOW_MS);
        assertTrue(dispatcher.offer(item(2, "p2", BATCH, 5, 1), NOW_MS + 1).accepted());
        assertTrue(dispatcher.offer(item(3, "p3", SESSION, 5, 1), NOW_MS + 2).accepted());
        assertTrue(dispatcher.nextDecisions(NOW_MS + 3).isEmpty());
        dispatcher.callEnded(1, true, 10, NOW_MS + 4);
        assertEquals(dispatcher.nextDecisions(NOW_MS + 5).get(0).ticket(), 3);
    }

    @Test
    public void agedBatchCallStartsBeforeNewSessionCall() {
        dispatcher = createDispatcher(
                new DispatcherSettings(1, 8, 10, 5_000, 1, 0, 1, 0, 0, 0, 0, 0, 0, 1_000), 1, List.of());
        offerAndStart(item(1, "p1", BATCH, 0, 1), NOW_MS);
        assertTrue(dispatcher.offer(item(2, "p2", BATCH, 5, 1), NOW_MS + 1).accepted());
        assertTrue(
                dispatcher.offer(item(3, "p3", SESSION, 5, 1), NOW_MS + 10_500).accepted());
        dispatcher.callEnded(1, true, 10, NOW_MS + 10_600);
        assertEquals(dispatcher.nextDecisions(NOW_MS + 10_601).get(0).ticket(), 2);
    }

    @Test
    public void customerAtItsLimitIsRefusedWithRetryAfter() {
        DispatcherSettings defaults = DispatcherSettings.DEFAULT;
        dispatcher = createDispatcher(
                new DispatcherSettings(1, defaults.sampledEngines(), 10, 5_000, 8, 0, 1, 0, 0, 0, 0, 0, 0, 1_000),
                1,
                List.of(new CustomerQuota(new CustomerId("c"), 1, 2)));
        offerAndStart(item(1, "p1", BATCH, 0, 1), NOW_MS);
        offerAndStart(item(2, "p2", BATCH, 0, 1), NOW_MS);
        Admission third = dispatcher.offer(item(3, "p3", BATCH, 0, 1), NOW_MS);
        assertEquals(third.refusalCode(), ErrorCode.CUSTOMER_LIMIT);
        assertTrue(third.retryAfterMs() > 0);
    }

    @Test
    public void modelWithoutEngineIsRefused() {
        dispatcher = createDispatcher(DispatcherSettings.DEFAULT, 0, List.of());
        assertEquals(dispatcher.offer(item(1, "p", BATCH, 0, 1), NOW_MS).refusalCode(), ErrorCode.NO_BACKEND);
    }

    @Test
    public void queuedCallIsDroppedAfterItsDeadline() {
        dispatcher = createDispatcher(
                new DispatcherSettings(1, 8, 10, 5_000, 1, 0, 1, 0, 0, 0, 0, 0, 0, 1_000), 1, List.of());
        offerAndStart(item(1, "p1", BATCH, 0, 1), NOW_MS);
        assertTrue(dispatcher.offer(item(2, "p2", BATCH, 5, 1), NOW_MS).accepted());
        Decision.Drop drop =
                (Decision.Drop) dispatcher.nextDecisions(NOW_MS + 60_000).get(0);
        assertEquals(drop.code(), ErrorCode.DEADLINE_EXCEEDED);
        assertEquals(dispatcher.waitingCalls(), 0);
    }

    @Test
    public void fullQueueDropsLowestClass() {
        dispatcher = createDispatcher(
                new DispatcherSettings(1, 8, 1, 5_000, 1, 0, 1, 0, 0, 0, 0, 0, 0, 1_000), 1, List.of());
        offerAndStart(item(1, "p1", BATCH, 0, 1), NOW_MS);
        assertTrue(dispatcher.offer(item(2, "p2", BATCH, 5, 1), NOW_MS).accepted());
        assertTrue(dispatcher.offer(item(3, "p3", SESSION, 5, 1), NOW_MS).accepted());
        Decision.Drop drop = (Decision.Drop) dispatcher.nextDecisions(NOW_MS).get(0);
        assertEquals(drop.ticket(), 2);
        assertEquals(drop.code(), ErrorCode.OVERLOADED);
        assertEquals(dispatcher.offer(item(4, "p4", BATCH, 5, 1), NOW_MS).refusalCode(), ErrorCode.OVERLOADED);
    }

    @Test
    public void failingEngineIsEjectedAndReadmittedGradually() {
        dispatcher = createDispatcher(DispatcherSettings.DEFAULT, 2, List.of());
        dispatcher.engineLeaving(engine(1));
        dispatcher.configure(
                List.of(
                        new EngineInfo(engine(0), ZONE, Set.of(MODEL), false),
                        new EngineInfo(new BackendServerId("fresh"), ZONE, Set.of(MODEL), false)),
                List.of(),
                List.of());
        long ticket = 0;
        int failed = 0;
        while (failed < 3) {
            BackendServerId chosen = offerAndStart(item(++ticket, "p" + ticket, SESSION, 0, 1), NOW_MS)
                    .engine();
            boolean failing = chosen.equals(engine(0));
            failed += failing ? 1 : 0;
            dispatcher.callEnded(ticket, !failing, 10, NOW_MS);
        }
        for (int i = 0; i < 10; i++) {
            ticket++;
            BackendServerId chosen = offerAndStart(item(ticket, "p" + ticket, SESSION, 0, 1), NOW_MS + 10)
                    .engine();
            assertEquals(chosen, new BackendServerId("fresh"));
        }
        long callsOnReadmitted = IntStream.range(100, 120)
                .filter(i -> offerAndStart(item(i, "p" + i, SESSION, 0, 1), NOW_MS + 2_000)
                        .engine()
                        .equals(engine(0)))
                .count();
        assertEquals(callsOnReadmitted, 1);
    }

    @Test
    public void releaseIsRepeatedUntilConfirmed() {
        Decision.Start start = offerAndStart(item(1, "p", SESSION, 0, 5), NOW_MS);
        dispatcher.callEnded(1, true, 10, NOW_MS);
        dispatcher.programEnded(new ProgramId("p"), NOW_MS);
        ReleaseRequest expected = new ReleaseRequest(start.engine(), new ProgramId("p"));
        assertEquals(dispatcher.dueReleases(NOW_MS), List.of(expected));
        assertEquals(dispatcher.dueReleases(NOW_MS + 500), List.of());
        assertEquals(dispatcher.dueReleases(NOW_MS + 1_000), List.of(expected));
        dispatcher.releaseConfirmed(start.engine(), new ProgramId("p"));
        assertEquals(dispatcher.dueReleases(NOW_MS + 5_000), List.of());
    }

    @Test
    public void callEndingAfterItsProgramSchedulesAnotherRelease() {
        Decision.Start start = offerAndStart(item(1, "p", SESSION, 0, 5), NOW_MS);
        dispatcher.programEnded(new ProgramId("p"), NOW_MS);
        dispatcher.dueReleases(NOW_MS);
        dispatcher.releaseConfirmed(start.engine(), new ProgramId("p"));
        dispatcher.callEnded(1, false, 0, NOW_MS + 100);
        assertEquals(dispatcher.dueReleases(NOW_MS + 100).size(), 1);
    }

    @Test
    public void memoryOfProgramsWithDeadOwnersIsReleased() {
        dispatcher.releaseOrphaned(
                engine(1),
                List.of(new ProgramId("dead"), new ProgramId("alive")),
                p -> p.value().equals("alive"),
                NOW_MS);
        assertEquals(dispatcher.dueReleases(NOW_MS), List.of(new ReleaseRequest(engine(1), new ProgramId("dead"))));
    }

    @Test
    public void retriesStopWhenRetryBudgetIsExhausted() {
        int retries = 0;
        for (int i = 1; i <= 100; i++) {
            dispatcher.offer(item(i, "p" + i, SESSION, 5, 1), NOW_MS + i * 40_000L);
            List<Decision> decisions = dispatcher.nextDecisions(NOW_MS);
            if (!decisions.isEmpty()) {
                retries += dispatcher.callEnded(i, false, 0, NOW_MS) ? 1 : 0;
            }
        }
        assertTrue(retries <= 31, "retries allowed: " + retries);
    }

    @Test
    public void nonRepeatableCallIsNotRetried() {
        WorkItem nonRepeatable = new WorkItem(
                1,
                new ProgramId("p"),
                new CustomerId("c"),
                SESSION,
                MODEL,
                NOW_MS + 60_000,
                NOW_MS + 60_000,
                0,
                64,
                10,
                List.of(1L),
                false);
        offerAndStart(nonRepeatable, NOW_MS);
        assertFalse(dispatcher.callEnded(1, false, 0, NOW_MS));
    }
}
