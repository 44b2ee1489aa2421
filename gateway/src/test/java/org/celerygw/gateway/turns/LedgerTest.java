package org.celerygw.gateway.turns;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.turns.Chain;
import org.celerygw.core.turns.Cleaner;
import org.celerygw.core.turns.Grant;
import org.celerygw.core.turns.KeptTurn;
import org.celerygw.core.turns.Ledger;
import org.celerygw.core.turns.Reservation;
import org.celerygw.standin.Fault;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class LedgerTest {
    private static final int PARTITIONS = 4;

    private ModelTime time;
    private List<MemoryTable> rows;
    private Faults faults;
    private Ledger one;
    private Ledger two;
    private int hosts;

    @BeforeMethod
    public void start() {
        time = new ModelTime();
        faults = new Faults();
        rows = IntStream.range(0, PARTITIONS)
                .mapToObj(i -> new MemoryTable(time, new Faults()))
                .toList();
        one = host(faults);
        two = host(new Faults());
    }

    @Test
    public void budgetHoldsOverAllHosts() {
        assertEquals(reserve(one, "p", "a", 60, 100), Grant.DONE);
        assertEquals(reserve(two, "p", "b", 60, 100), Grant.SPENT);
        assertEquals(settle(one, "p", "a", 30, null), Grant.DONE);
        assertEquals(reserve(two, "p", "b", 60, 100), Grant.DONE);
        assertEquals(reserve(one, "p", "c", 20, 100), Grant.SPENT);
    }

    @Test
    public void spentIsSaidOnlyAfterAFreshRead() {
        assertEquals(reserve(one, "p", "a", 60, 100), Grant.DONE);
        // Another host gives the reservation back; this one remembers it as taken.
        assertEquals(settle(two, "p", "a", 0, null), Grant.DONE);
        assertFalse(one.likelyFits("p", 60, 100));
        assertEquals(reserve(one, "p", "b", 60, 100), Grant.DONE);
    }

    @Test
    public void writeWhoseAnswerIsLostCountsOnce() {
        faults.next(Fault.LOST_ANSWER, 1);
        assertEquals(reserve(one, "p", "a", 60, 100), Grant.DONE);
        faults.next(Fault.LOST_ANSWER, 1);
        assertEquals(settle(one, "p", "a", 60, null), Grant.DONE);
        assertEquals(reserve(two, "p", "b", 40, 100), Grant.DONE);
        assertEquals(reserve(two, "p", "c", 1, 100), Grant.SPENT);
    }

    @Test
    public void reservationGivenUpDuringAnOutageIsGivenBack() {
        faults.next(Fault.LOST_ANSWER, 1);
        AtomicReference<Grant> grant = new AtomicReference<>();
        one.reserve(new Reservation("p", "a", 60, 100, 60_000), time.nowMs() + 5, grant::set);
        time.run(3);
        faults.always(Fault.DOWN);
        time.run(2_000);
        assertEquals(grant.get(), Grant.UNAVAILABLE);
        assertFalse(one.answering("p"));
        faults.clear();
        time.run(3_000);
        assertTrue(one.answering("p"));
        assertEquals(reserve(two, "p", "b", 100, 100), Grant.DONE);
    }

    @Test
    public void settledTurnRidesWithTheNextReservation() {
        assertEquals(reserve(one, "p", "a", 40, 100), Grant.DONE);
        long before = writes();
        one.settleLater("p", "a", 10);
        assertEquals(reserve(one, "p", "b", 90, 100), Grant.DONE);
        assertEquals(writes() - before, 1);
    }

    /** Each program asked by itself during an outage, some hundred times a second in all. */
    @Test
    public void outageCostsFewCallsHoweverManyProgramsWait() {
        CountingTable counted = new CountingTable(rows.get(0).on(time, faults));
        Ledger ledger = new Ledger(List.of(counted), "counting", time, time, 200, 1_000_000);
        faults.always(Fault.DOWN);
        List<Grant> grants = new ArrayList<>();
        IntStream.range(0, 200)
                .forEach(i -> ledger.reserve(
                        new Reservation("p" + i, "t", 1, 100, 60_000), time.nowMs() + 8_000, grants::add));
        time.run(500);
        long before = counted.calls;
        time.run(5_000);
        assertTrue(counted.calls - before <= 5_000 / 200, counted.calls - before + " calls in 5 s");
        faults.clear();
        time.run(1_000);
        assertEquals(grants, Collections.nCopies(200, Grant.DONE));
    }

    /** The next turns of a program run during an outage, within the budget, and are settled after it. */
    @Test
    public void turnReservedAheadNeedsNoStore() {
        assertEquals(reserve(one, "p", "a", 10, 100), Grant.DONE);
        faults.always(Fault.DOWN);
        long before = writes();
        assertEquals(reserve(one, "p", "b", 10, 100), Grant.DONE);
        assertEquals(reserve(one, "p", "c", 10, 100), Grant.DONE);
        assertEquals(writes(), before);
        assertEquals(reserve(one, "p", "d", 10, 100), Grant.UNAVAILABLE);
        // While nothing is settled, all three count at their most for every other host.
        assertEquals(reserve(two, "p", "e", 71, 100), Grant.SPENT);
        faults.clear();
        assertEquals(settle(one, "p", "a", 10, null), Grant.DONE);
        KeptTurn kept = new KeptTurn("", "", bytes("in "), bytes("out\n"), "s", time.nowMs());
        faults.next(Fault.LOST_ANSWER, 2);
        assertEquals(settle(one, "p", "b", 4, kept), Grant.DONE);
        assertEquals(settle(one, "p", "c", 6, null), Grant.DONE);
        assertEquals(history(chain(two, "p", "b")), "in out\n");
        // 20 are spent and two more turns are reserved ahead.
        assertEquals(reserve(two, "p", "f", 60, 100), Grant.DONE);
        assertEquals(reserve(two, "p", "g", 1, 100), Grant.SPENT);
    }

    @Test
    public void nothingIsReservedAheadWhereTheBudgetIsShort() {
        assertEquals(reserve(one, "p", "a", 30, 100), Grant.DONE);
        assertEquals(reserve(two, "p", "b", 70, 100), Grant.DONE);
    }

    /** A turn that was reserved ahead is kept although the program's rows were removed before it was settled. */
    @Test
    public void settlementOfARemovedProgramKeepsItsTurn() {
        assertEquals(reserve(one, "p", "a", 10, 100), Grant.DONE);
        time.run(300_000);
        clean();
        assertEquals(allRows("p/"), 0);
        KeptTurn kept = new KeptTurn("", "", bytes("in "), bytes("out\n"), "s", time.nowMs());
        assertEquals(settle(one, "p", "a", 4, kept), Grant.DONE);
        assertEquals(history(chain(two, "p", "a")), "in out\n");
    }

    @Test
    public void reservationMadeAheadIsNotUsedAfterItsTime() {
        assertEquals(reserve(one, "p", "a", 10, 100), Grant.DONE);
        time.run(21_000);
        long before = writes();
        assertEquals(reserve(one, "p", "b", 10, 100), Grant.DONE);
        assertEquals(writes() - before, 1);
    }

    @Test
    public void chainIsRebuiltByAnyHostInOrder() {
        keep(one, "p", "a", Chain.START, "in1 ", "out1\n");
        keep(two, "p", "b", chain(two, "p", "a"), "in2 ", "out2\n");
        keep(two, "p", "c", chain(two, "p", "a"), "in3 ", "out3\n");
        assertEquals(history(chain(one, "p", "b")), "in1 out1\nin2 out2\n");
        assertEquals(history(chain(one, "p", "c")), "in1 out1\nin3 out3\n");
        assertEquals(history(chain(host(new Faults()), "p", "b")), "in1 out1\nin2 out2\n");
        assertEquals(chain(one, "p", "b").lastServer(), "server-b");
    }

    @Test
    public void turnOfAnotherProgramMayBeContinued() {
        keep(one, "p", "a", Chain.START, "in1 ", "out1\n");
        Chain found = chain(two, "other", "a");
        assertEquals(history(found), "in1 out1\n");
        keep(two, "other", "b", found, "in2 ", "out2\n");
        assertEquals(history(chain(host(new Faults()), "other", "b")), "in1 out1\nin2 out2\n");
    }

    @Test
    public void unknownTurnIsMissingOnlyWhenAllPartitionsSaySo() {
        assertEquals(chain(one, "p", "none").status(), Chain.Status.MISSING);
        faults.next(Fault.DOWN, 2);
        assertEquals(chain(one, "q", "none").status(), Chain.Status.UNAVAILABLE);
    }

    /** A turn that came to a host without its program in a short outage was refused, and its program failed. */
    @Test
    public void chainIsReadAgainWhileThereIsTime() {
        keep(one, "p", "a", Chain.START, "in1 ", "out1\n");
        Faults outage = new Faults().next(Fault.DOWN, 3);
        assertEquals(history(chain(host(outage), "p", "a", 900)), "in1 out1\n");
        assertEquals(chain(host(new Faults().always(Fault.DOWN)), "p", "a", 900).status(), Chain.Status.UNAVAILABLE);
    }

    @Test
    public void longTurnIsCutIntoRowsAndJoined() {
        String input = "x".repeat(1_000);
        keep(one, "p", "a", Chain.START, input, "out\n");
        assertEquals(history(chain(two, "p", "a")), input + "out\n");
    }

    @Test
    public void strangeIdsDoNotLeaveTheirRows() {
        keep(one, "p/../q ", "a/b", Chain.START, "in", "out\n");
        assertEquals(history(chain(two, "p/../q ", "a/b")), "inout\n");
        assertEquals(chain(two, "p", "a").status(), Chain.Status.MISSING);
    }

    @Test
    public void lateWriteOfAnEarlierTryChangesNothing() {
        LateTable late = new LateTable(rows.get(0));
        Ledger ledger = new Ledger(List.of(late), "late", time, time, 200, 1_000_000);
        late.holdNext = true;
        assertEquals(reserve(ledger, "p", "a", 60, 100), Grant.DONE);
        assertEquals(settle(ledger, "p", "a", 10, null), Grant.DONE);
        late.release();
        time.run(100);
        assertEquals(reserve(ledger, "p", "b", 90, 100), Grant.DONE);
    }

    @Test
    public void programIsRemovedAfterItsTimeUnlessItIsStillUsed() {
        keep(one, "p", "a", Chain.START, "in", "out\n");
        keep(one, "used", "b", Chain.START, "in", "out\n");
        time.run(80_000);
        assertEquals(reserve(two, "used", "c", 1, 1_000), Grant.DONE);
        clean();
        time.run(20_000);
        clean();
        assertEquals(chain(host(new Faults()), "p", "a").status(), Chain.Status.MISSING);
        assertEquals(history(chain(host(new Faults()), "used", "b")), "inout\n");
        assertEquals(allRows("p/p/") + allRows("i/a"), 0);
        time.run(200_000);
        clean();
        assertEquals(allRows("p/") + allRows("i/") + allRows("x/"), 0);
    }

    private void clean() {
        Cleaner cleaner = new Cleaner(List.copyOf(rows), time, 0);
        IntStream.range(0, PARTITIONS).forEach(i -> cleaner.step());
        time.run(1_000);
    }

    private int allRows(String prefix) {
        int[] count = new int[1];
        rows.forEach(
                r -> r.scan(prefix, "", 500, answer -> count[0] += answer.rows().size()));
        time.run(100);
        return count[0];
    }

    /** A table that does one write only when told, after it has said that it knows nothing of it. */
    private final class LateTable implements Table {
        private final Table rows;
        private boolean holdNext;
        private Runnable held = () -> {};

        LateTable(Table rows) {
            this.rows = rows;
        }

        void release() {
            held.run();
        }

        @Override
        public void write(Txn txn, Consumer<TxnResult> done) {
            if (holdNext) {
                holdNext = false;
                held = () -> rows.write(txn, r -> {});
                done.accept(TxnResult.UNKNOWN);
            } else {
                rows.write(txn, done);
            }
        }

        @Override
        public void read(List<String> keys, Consumer<Answer> done) {
            rows.read(keys, done);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
            rows.scan(prefix, afterKey, limit, done);
        }
    }

    /** Counts the calls made. */
    private static final class CountingTable implements Table {
        private final Table rows;
        private long calls;

        CountingTable(Table rows) {
            this.rows = rows;
        }

        @Override
        public void write(Txn txn, Consumer<TxnResult> done) {
            calls++;
            rows.write(txn, done);
        }

        @Override
        public void read(List<String> keys, Consumer<Answer> done) {
            calls++;
            rows.read(keys, done);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
            calls++;
            rows.scan(prefix, afterKey, limit, done);
        }
    }

    private Ledger host(Faults seen) {
        List<Table> tables = rows.stream().map(r -> (Table) r.on(time, seen)).toList();
        return new Ledger(tables, "host" + ++hosts, time, time, 200, 1_000_000);
    }

    private long writes() {
        return rows.stream().mapToLong(MemoryTable::writeCount).sum();
    }

    private Grant reserve(Ledger ledger, String program, String turn, long max, long budget) {
        AtomicReference<Grant> grant = new AtomicReference<>();
        ledger.reserve(new Reservation(program, turn, max, budget, 60_000), time.nowMs() + 900, grant::set);
        time.run(1_000);
        return grant.get();
    }

    private Grant settle(Ledger ledger, String program, String turn, long tokens, KeptTurn kept) {
        AtomicReference<Grant> grant = new AtomicReference<>();
        ledger.settle(program, turn, tokens, kept, time.nowMs() + 900, grant::set);
        time.run(1_000);
        return grant.get();
    }

    private void keep(Ledger ledger, String program, String turn, Chain from, String input, String output) {
        assertEquals(reserve(ledger, program, turn, 1, 1_000), Grant.DONE);
        KeptTurn kept =
                new KeptTurn(from.program(), from.turn(), bytes(input), bytes(output), "server-" + turn, time.nowMs());
        assertEquals(settle(ledger, program, turn, 1, kept), Grant.DONE);
    }

    private Chain chain(Ledger ledger, String program, String previous) {
        return chain(ledger, program, previous, 0);
    }

    private Chain chain(Ledger ledger, String program, String previous, long patienceMs) {
        AtomicReference<Chain> found = new AtomicReference<>();
        ledger.chain(program, previous, time.nowMs() + patienceMs, c -> {
            assertNull(found.get());
            found.set(c);
        });
        time.run(1_000);
        return found.get();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String history(Chain chain) {
        assertEquals(chain.status(), Chain.Status.FOUND);
        return new String(chain.history(), StandardCharsets.UTF_8);
    }
}
