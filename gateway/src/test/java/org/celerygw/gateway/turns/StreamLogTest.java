package org.celerygw.gateway.turns;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.celerygw.core.gen.turns.AttemptLog;
import org.celerygw.core.gen.turns.LoggedEvent;
import org.celerygw.core.store.Table;
import org.celerygw.core.turns.ExpiredProgramCleaner;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.ReceivedStream;
import org.celerygw.core.turns.Reservation;
import org.celerygw.core.turns.StreamLog;
import org.celerygw.core.turns.UpdateResult;
import org.celerygw.standin.Fault;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the log of a stream tells of the events that its client has received. */
public final class StreamLogTest {
    private static final long RETENTION_MS = 60_000;
    private static final int ROW_BYTES = 60_000;

    private SimulatedClock clock;
    private MemoryTable table;
    private Faults faults;
    private ProgramStore host;

    @BeforeMethod
    public void start() {
        clock = new SimulatedClock();
        faults = new Faults();
        table = new MemoryTable(clock, faults);
        host = newHost();
    }

    private ProgramStore newHost() {
        return new ProgramStore(List.of((Table) table), "host", clock, clock, ROW_BYTES, 1_000_000);
    }

    private static LoggedEvent event(long id, String data) {
        return LoggedEvent.newBuilder()
                .setId(id)
                .setData(ByteString.copyFromUtf8(data))
                .build();
    }

    private static AttemptLog first(String attempt, long resumedAfter, LoggedEvent... events) {
        return part(events).toBuilder()
                .setAttempt(attempt)
                .setResumedAfter(resumedAfter)
                .build();
    }

    private static AttemptLog part(LoggedEvent... events) {
        return AttemptLog.newBuilder().addAllEvents(List.of(events)).build();
    }

    private int append(int ordinal, int firstRow, AttemptLog part) {
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        int rows = tryAppend(ordinal, firstRow, part, result);
        assertEquals(result.get(), UpdateResult.COMMITTED);
        return rows;
    }

    private int tryAppend(int ordinal, int firstRow, AttemptLog part, AtomicReference<UpdateResult> result) {
        StreamLog.AttemptKey key = new StreamLog.AttemptKey("p", "a", ordinal);
        int rows = host.streamLog().append(key, firstRow, part, clock.nowMs() + 900, result::set);
        clock.advance(1_000);
        return rows;
    }

    private ReceivedStream read(long lastEventId) {
        AtomicReference<ReceivedStream> received = new AtomicReference<>();
        newHost().streamLog().read("p", "a", lastEventId, clock.nowMs() + 900, received::set);
        clock.advance(1_000);
        return received.get();
    }

    private void assertReceived(long lastEventId, String output) {
        ReceivedStream received = read(lastEventId);
        assertEquals(received.status(), ReceivedStream.Status.KNOWN);
        assertEquals(new String(received.output(), StandardCharsets.UTF_8), output);
    }

    @Test
    public void eventsOfAllPartsAreReceivedUpToTheLastOne() {
        int rows = append(0, 0, first("a", -1, event(1, "x"), event(2, "y")));
        append(0, rows, part(event(5, "z")));
        assertReceived(5, "x\ny\nz\n");
        assertReceived(2, "x\ny\n");
        assertReceived(0, "");
        assertEquals(read(5).attempts(), 1);
    }

    /** Guards against a history of parts that the client was given by two attempts, and of which it has one. */
    @Test
    public void eventsAfterTheOneThatTheNextAttemptWentOnFromAreDropped() {
        append(0, 0, first("a", -1, event(1, "a1"), event(2, "a2"), event(3, "a3")));
        append(1, 0, first("b", 1, event(2, "b2")));
        assertReceived(2, "a1\nb2\n");
        append(2, 0, first("0", 1, event(2, "c2"), event(3, "c3")));
        assertReceived(3, "a1\nc2\nc3\n");
        assertEquals(read(3).attempts(), 3);
    }

    /** Guards against a late write of an attempt that its client gave up, beside the attempt that followed. */
    @Test
    public void attemptsThatReadTheSameEarlierOnesCannotBothBeLogged() {
        append(0, 0, first("a", -1, event(1, "a1")));
        append(1, 0, first("c", 1, event(2, "x")));
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        tryAppend(1, 0, first("b", 1, event(2, "x")), result);
        assertEquals(result.get(), UpdateResult.UNAVAILABLE);
        assertReceived(2, "a1\nx\n");
    }

    @Test
    public void attemptThatBroughtNothingHidesWhatTheOneBeforeBrought() {
        append(0, 0, first("a", -1, event(1, "a1"), event(2, "a2")));
        append(1, 0, first("b", 1));
        assertReceived(1, "a1\n");
        assertEquals(read(2).status(), ReceivedStream.Status.UNKNOWN);
    }

    @Test
    public void streamThatBeginsAnewReplacesItsFirstRun() {
        int rows = append(0, 0, first("a", -1, event(1, "old1"), event(2, "old2")));
        append(0, rows, part(event(1, "new1")));
        assertReceived(1, "new1\n");
        assertEquals(read(2).status(), ReceivedStream.Status.UNKNOWN);
    }

    @Test
    public void streamIsUnknownWithoutItsLastEventAndWithoutAnyRow() {
        assertEquals(read(1).status(), ReceivedStream.Status.UNKNOWN);
        append(0, 0, first("a", -1, event(1, "x")));
        assertEquals(read(2).status(), ReceivedStream.Status.UNKNOWN);
        faults.injectAlways(Fault.DOWN);
        assertEquals(read(1).status(), ReceivedStream.Status.UNAVAILABLE);
    }

    @Test
    public void partIsStoredOnceWhenResponsesOfTheStoreAreLost() {
        faults.injectNext(Fault.LOST_ANSWER, 2);
        int rows = append(0, 0, first("a", -1, event(1, "x")));
        faults.injectNext(Fault.REFUSED, 2);
        append(0, rows, part(event(2, "y")));
        assertReceived(2, "x\ny\n");
    }

    @Test
    public void partLargerThanARowIsReadBackWhole() {
        String text = "t".repeat(3 * ROW_BYTES);
        assertTrue(append(0, 0, first("a", -1, event(1, text))) > 3);
        assertReceived(1, text + "\n");
    }

    /** Guards against logs that stay in the store when the program's other rows are gone. */
    @Test
    public void logsAreRemovedWithTheirProgram() {
        host.reserve(new Reservation("p", "a", 10, 100, RETENTION_MS, "v1"), clock.nowMs() + 900, result -> {});
        clock.advance(1_000);
        IntStream.range(0, 120).forEach(i -> append(i, 0, first("a" + i, -1, event(1, "x"))));
        clock.advance(RETENTION_MS + 60_000);
        ExpiredProgramCleaner cleaner = new ExpiredProgramCleaner(List.of((Table) table), clock, 0);
        for (int i = 0; i < 3; i++) {
            cleaner.cleanNextPartition();
            clock.advance(1_000);
        }
        AtomicReference<Table.ReadResult> rows = new AtomicReference<>();
        table.scan("p/", "", 500, rows::set);
        clock.advance(1_000);
        assertEquals(rows.get().rows(), List.of());
    }
}
