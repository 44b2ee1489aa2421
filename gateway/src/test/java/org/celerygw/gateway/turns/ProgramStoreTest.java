package org.celerygw.gateway.turns;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.turns.TurnRow;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.turns.ExpiredProgramCleaner;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.Reservation;
import org.celerygw.core.turns.StoredTurn;
import org.celerygw.core.turns.StreamOrigin;
import org.celerygw.core.turns.TurnChain;
import org.celerygw.core.turns.UpdateResult;
import org.celerygw.standin.Fault;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests budgets, stored turns and their expiry, with the program stores of several hosts on the same partitions. */
public final class ProgramStoreTest {
    private static final int PARTITIONS = 4;
    private static final long HOST_STACK_BYTES = 320 << 10;

    private SimulatedClock clock;
    private List<MemoryTable> partitions;
    private Faults faults;
    private ProgramStore firstHost;
    private ProgramStore secondHost;
    private int hostCount;

    @BeforeMethod
    public void start() {
        clock = new SimulatedClock();
        faults = new Faults();
        partitions = IntStream.range(0, PARTITIONS)
                .mapToObj(i -> new MemoryTable(clock, new Faults()))
                .toList();
        firstHost = newProgramStore(faults);
        secondHost = newProgramStore(new Faults());
    }

    @Test
    public void budgetIsSharedByAllHosts() {
        assertEquals(reserve(firstHost, "p", "a", 60, 100), UpdateResult.COMMITTED);
        assertEquals(reserve(secondHost, "p", "b", 60, 100), UpdateResult.BUDGET_EXCEEDED);
        assertEquals(settle(firstHost, "p", "a", 30, null), UpdateResult.COMMITTED);
        assertEquals(reserve(secondHost, "p", "b", 60, 100), UpdateResult.COMMITTED);
        assertEquals(reserve(firstHost, "p", "c", 20, 100), UpdateResult.BUDGET_EXCEEDED);
    }

    @Test
    public void reportsExceededBudgetOnlyAfterAFreshRead() {
        assertEquals(reserve(firstHost, "p", "a", 60, 100), UpdateResult.COMMITTED);
        // Another host releases the reservation; this host's cache still counts it.
        assertEquals(settle(secondHost, "p", "a", 0, null), UpdateResult.COMMITTED);
        assertFalse(firstHost.likelyWithinBudget("p", 60, 100));
        assertEquals(reserve(firstHost, "p", "b", 60, 100), UpdateResult.COMMITTED);
    }

    @Test
    public void countsWriteOnceWhenItsResponseIsLost() {
        faults.injectNext(Fault.LOST_ANSWER, 1);
        assertEquals(reserve(firstHost, "p", "a", 60, 100), UpdateResult.COMMITTED);
        faults.injectNext(Fault.LOST_ANSWER, 1);
        assertEquals(settle(firstHost, "p", "a", 60, null), UpdateResult.COMMITTED);
        assertEquals(reserve(secondHost, "p", "b", 40, 100), UpdateResult.COMMITTED);
        assertEquals(reserve(secondHost, "p", "c", 1, 100), UpdateResult.BUDGET_EXCEEDED);
    }

    @Test
    public void releasesReservationAbandonedDuringAnOutage() {
        faults.injectNext(Fault.LOST_ANSWER, 1);
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        firstHost.reserve(new Reservation("p", "a", 60, 100, 60_000, ""), clock.nowMs() + 5, result::set);
        clock.advance(3);
        faults.injectAlways(Fault.DOWN);
        clock.advance(2_000);
        assertEquals(result.get(), UpdateResult.UNAVAILABLE);
        assertFalse(firstHost.isStoreAvailable("p"));
        faults.clear();
        clock.advance(3_000);
        assertTrue(firstHost.isStoreAvailable("p"));
        assertEquals(reserve(secondHost, "p", "b", 100, 100), UpdateResult.COMMITTED);
    }

    @Test
    public void settlesTurnInTheTransactionOfTheNextReservation() {
        assertEquals(reserve(firstHost, "p", "a", 40, 100), UpdateResult.COMMITTED);
        long writesBefore = committedWrites();
        firstHost.settleLater("p", "a", 10, "");
        assertEquals(reserve(firstHost, "p", "b", 90, 100), UpdateResult.COMMITTED);
        assertEquals(committedWrites() - writesBefore, 1);
    }

    /** Without a shared circuit breaker, each program retries on its own in an outage: some hundred calls a second in all. */
    @Test
    public void limitsCallsDuringAnOutageIndependentlyOfWaitingPrograms() {
        CountingTable counted = new CountingTable(partitions.get(0).viewFor(clock, faults));
        ProgramStore programStore = new ProgramStore(List.of(counted), "counting", clock, clock, 200, 1_000_000);
        faults.injectAlways(Fault.DOWN);
        List<UpdateResult> results = new ArrayList<>();
        IntStream.range(0, 200)
                .forEach(i -> programStore.reserve(
                        new Reservation("p" + i, "t", 1, 100, 60_000, ""), clock.nowMs() + 8_000, results::add));
        clock.advance(500);
        long callsBefore = counted.calls;
        clock.advance(5_000);
        assertTrue(
                counted.calls - callsBefore <= 5_000 / 200, counted.calls - callsBefore + " calls to the store in 5 s");
        faults.clear();
        clock.advance(1_000);
        assertEquals(results, Collections.nCopies(200, UpdateResult.COMMITTED));
    }

    /** During an outage, the next turns within the budget run on reservations made ahead and are settled after it. */
    @Test
    public void turnReservedAheadStartsWithoutTheStore() {
        assertEquals(reserve(firstHost, "p", "a", 10, 100), UpdateResult.COMMITTED);
        faults.injectAlways(Fault.DOWN);
        long writesBefore = committedWrites();
        assertEquals(reserve(firstHost, "p", "b", 10, 100), UpdateResult.COMMITTED);
        assertEquals(reserve(firstHost, "p", "c", 10, 100), UpdateResult.COMMITTED);
        assertEquals(committedWrites(), writesBefore);
        assertEquals(reserve(firstHost, "p", "d", 10, 100), UpdateResult.UNAVAILABLE);
        // Until they are settled, all three turns count with their maximum tokens on every other host.
        assertEquals(reserve(secondHost, "p", "e", 71, 100), UpdateResult.BUDGET_EXCEEDED);
        faults.clear();
        assertEquals(settle(firstHost, "p", "a", 10, null), UpdateResult.COMMITTED);
        StoredTurn storedTurn = new StoredTurn("", "", bytes("in "), bytes("out\n"), "s", clock.nowMs());
        faults.injectNext(Fault.LOST_ANSWER, 2);
        assertEquals(settle(firstHost, "p", "b", 4, storedTurn), UpdateResult.COMMITTED);
        assertEquals(settle(firstHost, "p", "c", 6, null), UpdateResult.COMMITTED);
        assertEquals(history(readChain(secondHost, "p", "b")), "in out\n");
        // 20 tokens are spent and two more turns are reserved ahead.
        assertEquals(reserve(secondHost, "p", "f", 60, 100), UpdateResult.COMMITTED);
        assertEquals(reserve(secondHost, "p", "g", 1, 100), UpdateResult.BUDGET_EXCEEDED);
    }

    @Test
    public void reservesNothingAheadWhenTheBudgetIsShort() {
        assertEquals(reserve(firstHost, "p", "a", 30, 100), UpdateResult.COMMITTED);
        assertEquals(reserve(secondHost, "p", "b", 70, 100), UpdateResult.COMMITTED);
    }

    /** The program's rows may be removed as expired before a turn that was reserved ahead is settled. */
    @Test
    public void storesTurnOfARemovedProgramAtSettlement() {
        assertEquals(reserve(firstHost, "p", "a", 10, 100), UpdateResult.COMMITTED);
        clock.advance(300_000);
        removeExpiredPrograms();
        assertEquals(countRows("p/"), 0);
        StoredTurn storedTurn = new StoredTurn("", "", bytes("in "), bytes("out\n"), "s", clock.nowMs());
        assertEquals(settle(firstHost, "p", "a", 4, storedTurn), UpdateResult.COMMITTED);
        assertEquals(history(readChain(secondHost, "p", "a")), "in out\n");
    }

    @Test
    public void doesNotUseReservationMadeAheadAfterItsExpiry() {
        assertEquals(reserve(firstHost, "p", "a", 10, 100), UpdateResult.COMMITTED);
        clock.advance(21_000);
        long writesBefore = committedWrites();
        assertEquals(reserve(firstHost, "p", "b", 10, 100), UpdateResult.COMMITTED);
        assertEquals(committedWrites() - writesBefore, 1);
    }

    @Test
    public void anyHostReadsTheChainInOrder() {
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, "in1 ", "out1\n");
        storeTurn(secondHost, "p", "b", readChain(secondHost, "p", "a"), "in2 ", "out2\n");
        storeTurn(secondHost, "p", "c", readChain(secondHost, "p", "a"), "in3 ", "out3\n");
        assertEquals(history(readChain(firstHost, "p", "b")), "in1 out1\nin2 out2\n");
        assertEquals(history(readChain(firstHost, "p", "c")), "in1 out1\nin3 out3\n");
        assertEquals(history(readChain(newProgramStore(new Faults()), "p", "b")), "in1 out1\nin2 out2\n");
        assertEquals(readChain(firstHost, "p", "b").lastServer(), "server-b");
    }

    @Test
    public void continuesTurnOfAnotherProgram() {
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, "in1 ", "out1\n");
        TurnChain found = readChain(secondHost, "other", "a");
        assertEquals(history(found), "in1 out1\n");
        storeTurn(secondHost, "other", "b", found, "in2 ", "out2\n");
        assertEquals(history(readChain(newProgramStore(new Faults()), "other", "b")), "in1 out1\nin2 out2\n");
    }

    /** Guards against a chain of which only the last turn is found, since the ids in rows were escaped a second time. */
    @Test
    public void continuesTurnOfAProgramWithAnEscapedId() {
        storeTurn(firstHost, "p/q", "a", TurnChain.EMPTY, "in1 ", "out1\n");
        storeTurn(firstHost, "p/q", "b", readChain(firstHost, "p/q", "a"), "in2 ", "out2\n");
        assertEquals(history(readChain(secondHost, "p/q", "b")), "in1 out1\nin2 out2\n");
        assertEquals(history(readChain(newProgramStore(new Faults()), "other", "b")), "in1 out1\nin2 out2\n");
    }

    /** Guards against a customer that reads the turns of another one, or that cannot go on with those of before. */
    @Test
    public void turnOfAnotherCustomerIsMissing() {
        storeTurn(firstHost, "old", "a", TurnChain.EMPTY, "in1 ", "out1\n");
        StoredTurn owned = new StoredTurn("", "", bytes("in2 "), bytes("out2\n"), "s", clock.nowMs(), "t1");
        reserve(firstHost, "p", "b", 1, 1_000);
        assertEquals(settle(firstHost, "p", "b", 1, owned), UpdateResult.COMMITTED);
        // The same id in a program of the other customer.
        reserve(firstHost, "q", "b", 1, 1_000);
        StoredTurn other = new StoredTurn("", "", bytes("in3 "), bytes("out3\n"), "s", clock.nowMs(), "t2");
        assertEquals(settle(firstHost, "q", "b", 1, other), UpdateResult.COMMITTED);
        for (ProgramStore host : List.of(firstHost, newProgramStore(new Faults()))) {
            assertEquals(history(readChain(host, "x", "b", "t1")), "in2 out2\n");
            assertEquals(history(readChain(host, "p", "b", "t2")), "in3 out3\n");
            assertEquals(history(readChain(host, "x", "a", "t1")), "in1 out1\n");
            assertEquals(readChain(host, "p", "b", "t3"), readChain(host, "p", "none", "t3"));
            assertEquals(readChain(host, "p", "b", "").status(), TurnChain.Status.MISSING);
        }
    }

    @Test
    public void reportsMissingTurnOnlyWhenAllPartitionsAnswered() {
        assertEquals(readChain(firstHost, "p", "none").status(), TurnChain.Status.MISSING);
        faults.injectNext(Fault.DOWN, 2);
        assertEquals(readChain(firstHost, "q", "none").status(), TurnChain.Status.UNAVAILABLE);
    }

    /** Guards against refusing a turn, and so failing its program, when its host must read the chain in a short outage. */
    @Test
    public void retriesReadingTheChainUntilTheDeadline() {
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, "in1 ", "out1\n");
        Faults outage = new Faults().injectNext(Fault.DOWN, 3);
        assertEquals(history(readChain(newProgramStore(outage), "p", "a", 900)), "in1 out1\n");
        assertEquals(
                readChain(newProgramStore(new Faults().injectAlways(Fault.DOWN)), "p", "a", 900)
                        .status(),
                TurnChain.Status.UNAVAILABLE);
    }

    @Test
    public void splitsLongTurnIntoRowsAndJoinsThem() {
        String input = "x".repeat(1_000);
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, input, "out\n");
        assertEquals(history(readChain(secondHost, "p", "a")), input + "out\n");
    }

    /** Guards against turns that wait together and are written in one transaction, which the store rejects as too large. */
    @Test
    public void longTurnsThatWaitTogetherAreWrittenInTransactionsThatTheStoreTakes() {
        SizeLimitedTable table = new SizeLimitedTable(partitions.get(0));
        ProgramStore host = new ProgramStore(List.of((Table) table), "host", clock, clock, 60_000, 10_000_000);
        List<UpdateResult> results = new ArrayList<>();
        for (String turn : List.of("a", "b", "c", "d")) {
            reserve(host, "p", turn, 1, 1_000);
        }
        for (String turn : List.of("a", "b", "c", "d")) {
            StoredTurn longTurn = new StoredTurn("", "", new byte[399_000], bytes("out\n"), "s", clock.nowMs());
            host.settle("p", turn, 1, "", longTurn, clock.nowMs() + 900, results::add);
        }
        clock.advance(1_000);
        assertEquals(results, Collections.nCopies(4, UpdateResult.COMMITTED));
    }

    @Test
    public void escapesIdsWithSeparatorsInRowKeys() {
        storeTurn(firstHost, "p/../q ", "a/b", TurnChain.EMPTY, "in", "out\n");
        assertEquals(history(readChain(secondHost, "p/../q ", "a/b")), "inout\n");
        assertEquals(readChain(secondHost, "p", "a").status(), TurnChain.Status.MISSING);
    }

    @Test
    public void delayedWriteOfAnEarlierAttemptHasNoEffect() {
        DelayedWriteTable delayed = new DelayedWriteTable(partitions.get(0));
        ProgramStore programStore = new ProgramStore(List.of(delayed), "delayed", clock, clock, 200, 1_000_000);
        delayed.delayNextWrite = true;
        assertEquals(reserve(programStore, "p", "a", 60, 100), UpdateResult.COMMITTED);
        assertEquals(settle(programStore, "p", "a", 10, null), UpdateResult.COMMITTED);
        delayed.applyDelayedWrite();
        clock.advance(100);
        assertEquals(reserve(programStore, "p", "b", 90, 100), UpdateResult.COMMITTED);
    }

    @Test
    public void removesExpiredProgramUnlessItIsStillUsed() {
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, "in", "out\n");
        storeTurn(firstHost, "used", "b", TurnChain.EMPTY, "in", "out\n");
        clock.advance(80_000);
        assertEquals(reserve(secondHost, "used", "c", 1, 1_000), UpdateResult.COMMITTED);
        removeExpiredPrograms();
        clock.advance(20_000);
        removeExpiredPrograms();
        assertEquals(readChain(newProgramStore(new Faults()), "p", "a").status(), TurnChain.Status.MISSING);
        assertEquals(history(readChain(newProgramStore(new Faults()), "used", "b")), "inout\n");
        assertEquals(countRows("p/p/") + countRows("i/a"), 0);
        clock.advance(200_000);
        removeExpiredPrograms();
        assertEquals(countRows("p/") + countRows("i/") + countRows("x/"), 0);
    }

    /** Guards against the failure that hosts replace a row which they cannot read, and with it what was spent. */
    @Test
    public void damagedProgramRowIsNotReplaced() {
        assertEquals(reserve(firstHost, "p", "a", 60, 100), UpdateResult.COMMITTED);
        ByteString damaged = ByteString.copyFrom(new byte[] {(byte) 0xFF, 1, 2});
        put("p/p/p", damaged);
        for (ProgramStore host : List.of(firstHost, newProgramStore(new Faults()))) {
            for (int i = 0; i < 3; i++) {
                AtomicReference<UpdateResult> result = new AtomicReference<>();
                host.reserve(new Reservation("p", "b" + i, 90, 100, 60_000, ""), clock.nowMs() + 900, result::set);
                advancePastFailures();
                assertEquals(result.get(), UpdateResult.UNAVAILABLE);
            }
        }
        List<Row> rows = new ArrayList<>();
        partitions.forEach(t -> t.read(List.of("p/p/p"), answer -> rows.addAll(answer.rows())));
        clock.advance(100);
        assertTrue(rows.stream().anyMatch(r -> r.value().equals(damaged)));
        assertEquals(reserve(firstHost, "q", "c", 60, 100), UpdateResult.COMMITTED);
    }

    /** Guards against the failure that a program cannot be loaded any more after one load that met a damaged row. */
    @Test
    public void chainIsReadAfterADamagedRowIsGone() {
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, "in1 ", "out1\n");
        List<Row> sound = new ArrayList<>();
        partitions.forEach(t -> t.read(
                List.of("p/p/p"),
                answer -> answer.rows().stream().filter(Row::exists).forEach(sound::add)));
        clock.advance(100);
        put("p/p/p", ByteString.copyFrom(new byte[] {(byte) 0xFF, 1, 2}));
        ProgramStore host = newProgramStore(new Faults());
        AtomicReference<TurnChain> found = new AtomicReference<>();
        host.readChain("p", "a", clock.nowMs(), found::set);
        advancePastFailures();
        assertEquals(found.get().status(), TurnChain.Status.UNAVAILABLE);
        AtomicReference<StreamOrigin> origin = new AtomicReference<>();
        host.readStreamVersion("p", "a", clock.nowMs(), origin::set);
        advancePastFailures();
        assertEquals(origin.get().status(), StreamOrigin.Status.UNAVAILABLE);
        put("p/p/p", sound.get(0).value());
        assertEquals(history(readChain(host, "p", "a")), "in1 out1\n");
    }

    /** Guards against the failure that a chain overflows the stack: one of many turns, or one that never ends. */
    @Test
    public void chainsOfAnyLengthAreReadOnAHostsStack() throws Exception {
        int turns = 5_000;
        List<Txn.Change> changes = new ArrayList<>();
        for (int i = 0; i < turns; i++) {
            changes.add(turnRow("p", "t" + i, i == 0 ? "" : "t" + (i - 1)));
        }
        changes.add(turnRow("p", "loop1", "loop2"));
        changes.add(turnRow("p", "loop2", "loop1"));
        partitions.forEach(t -> t.write(new Txn(List.of(), changes), result -> {}));
        clock.advance(100);
        AtomicReference<TurnChain> longest = new AtomicReference<>();
        AtomicReference<TurnChain> loop = new AtomicReference<>();
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread thread = new Thread(
                null,
                () -> {
                    longest.set(readChain(firstHost, "p", "t" + (turns - 1)));
                    loop.set(readChain(firstHost, "p", "loop1"));
                },
                "host",
                HOST_STACK_BYTES);
        thread.setUncaughtExceptionHandler((t, e) -> failure.set(e));
        thread.start();
        thread.join();
        assertNull(failure.get());
        assertEquals(history(longest.get()).length(), turns);
        assertEquals(loop.get().status(), TurnChain.Status.UNAVAILABLE);
    }

    /** Guards against the failure that one row under the expiry prefix stops the cleaning of its partition. */
    @Test
    public void removesExpiredProgramsBesideOddExpiryRows() {
        storeTurn(firstHost, "p", "a", TurnChain.EMPTY, "in", "out\n");
        List.of("x/", "x/0", "x/00000000000x0/p", "x/0000000000000").forEach(key -> put(key, ByteString.EMPTY));
        clock.advance(200_000);
        removeExpiredPrograms();
        assertEquals(countRows("p/") + countRows("i/"), 0);
    }

    private void put(String key, ByteString value) {
        Txn txn = new Txn(List.of(), List.of(Txn.Change.put(key, value)));
        partitions.forEach(t -> t.write(txn, result -> {}));
        clock.advance(100);
    }

    private static Txn.Change turnRow(String program, String turn, String parent) {
        TurnRow row = TurnRow.newBuilder()
                .setParentProgram(parent.isEmpty() ? "" : program)
                .setParentTurn(parent)
                .setInput(ByteString.copyFromUtf8("i"))
                .build();
        return Txn.Change.put("p/" + program + "/t/" + turn + "/000", row.toByteString());
    }

    /** Advances the time although tasks may end with the error of a damaged row, which a host logs. */
    private void advancePastFailures() {
        long untilMs = clock.nowMs() + 1_000;
        while (clock.nowMs() < untilMs) {
            try {
                clock.advance(untilMs - clock.nowMs());
            } catch (GatewayException e) {
                assertEquals(e.code(), ErrorCode.DAMAGED);
            }
        }
    }

    private void removeExpiredPrograms() {
        ExpiredProgramCleaner cleaner = new ExpiredProgramCleaner(List.copyOf(partitions), clock, 0);
        IntStream.range(0, PARTITIONS).forEach(i -> cleaner.cleanNextPartition());
        clock.advance(1_000);
    }

    private int countRows(String prefix) {
        int[] count = new int[1];
        partitions.forEach(
                p -> p.scan(prefix, "", 500, answer -> count[0] += answer.rows().size()));
        clock.advance(100);
        return count[0];
    }

    /** A table that passes reads on to another one. */
    private abstract static class ForwardingTable implements Table {
        final Table table;

        ForwardingTable(Table table) {
            this.table = table;
        }

        @Override
        public void read(List<String> keys, Consumer<ReadResult> callback) {
            table.read(keys, callback);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
            table.scan(prefix, afterKey, limit, callback);
        }
    }

    /** A table that reports the outcome of one write as unknown and applies that write later, on request. */
    private final class DelayedWriteTable extends ForwardingTable {
        private boolean delayNextWrite;
        private Runnable delayedWrite = () -> {};

        DelayedWriteTable(Table table) {
            super(table);
        }

        void applyDelayedWrite() {
            delayedWrite.run();
        }

        @Override
        public void write(Txn txn, Consumer<TxnResult> callback) {
            if (delayNextWrite) {
                delayNextWrite = false;
                delayedWrite = () -> table.write(txn, r -> {});
                callback.accept(TxnResult.UNKNOWN);
            } else {
                table.write(txn, callback);
            }
        }
    }

    /** A table that takes transactions of at most 1 MB, with values in Base64, as the platform's store does. */
    private static final class SizeLimitedTable extends ForwardingTable {
        private static final long MAX_TXN_BYTES = 1_000_000;

        SizeLimitedTable(Table table) {
            super(table);
        }

        @Override
        public void write(Txn txn, Consumer<TxnResult> callback) {
            long bytes = txn.changes().stream()
                    .mapToLong(c -> (c.value().size() + 2) / 3 * 4)
                    .sum();
            if (bytes > MAX_TXN_BYTES) {
                callback.accept(TxnResult.UNKNOWN);
            } else {
                table.write(txn, callback);
            }
        }
    }

    /** A table that counts the calls to it. */
    private static final class CountingTable implements Table {
        private final Table table;
        private long calls;

        CountingTable(Table table) {
            this.table = table;
        }

        @Override
        public void write(Txn txn, Consumer<TxnResult> callback) {
            calls++;
            table.write(txn, callback);
        }

        @Override
        public void read(List<String> keys, Consumer<ReadResult> callback) {
            calls++;
            table.read(keys, callback);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
            calls++;
            table.scan(prefix, afterKey, limit, callback);
        }
    }

    private ProgramStore newProgramStore(Faults faults) {
        List<Table> tables =
                partitions.stream().map(p -> (Table) p.viewFor(clock, faults)).toList();
        return new ProgramStore(tables, "host" + ++hostCount, clock, clock, 200, 1_000_000);
    }

    private long committedWrites() {
        return partitions.stream().mapToLong(MemoryTable::writeCount).sum();
    }

    private UpdateResult reserve(
            ProgramStore programStore, String program, String turn, long maxTokens, long budgetTokens) {
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        programStore.reserve(
                new Reservation(program, turn, maxTokens, budgetTokens, 60_000, ""), clock.nowMs() + 900, result::set);
        clock.advance(1_000);
        return result.get();
    }

    private UpdateResult settle(
            ProgramStore programStore, String program, String turn, long tokens, StoredTurn storedTurn) {
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        programStore.settle(program, turn, tokens, "", storedTurn, clock.nowMs() + 900, result::set);
        clock.advance(1_000);
        return result.get();
    }

    private void storeTurn(
            ProgramStore programStore, String program, String turn, TurnChain previous, String input, String output) {
        assertEquals(reserve(programStore, program, turn, 1, 1_000), UpdateResult.COMMITTED);
        StoredTurn storedTurn = new StoredTurn(
                previous.program(), previous.turn(), bytes(input), bytes(output), "server-" + turn, clock.nowMs());
        assertEquals(settle(programStore, program, turn, 1, storedTurn), UpdateResult.COMMITTED);
    }

    private TurnChain readChain(ProgramStore programStore, String program, String previousTurn) {
        return readChain(programStore, program, previousTurn, 0);
    }

    private TurnChain readChain(ProgramStore programStore, String program, String previousTurn, long timeoutMs) {
        AtomicReference<TurnChain> found = new AtomicReference<>();
        programStore.readChain(program, previousTurn, clock.nowMs() + timeoutMs, c -> {
            assertNull(found.get());
            found.set(c);
        });
        clock.advance(1_000);
        return found.get();
    }

    private TurnChain readChain(ProgramStore programStore, String program, String previousTurn, String customer) {
        AtomicReference<TurnChain> found = new AtomicReference<>();
        programStore.readChain(program, previousTurn, customer, clock.nowMs(), found::set);
        clock.advance(1_000);
        return found.get();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String history(TurnChain chain) {
        assertEquals(chain.status(), TurnChain.Status.FOUND);
        return new String(chain.history(), StandardCharsets.UTF_8);
    }
}
