package org.celerygw.gateway.turns;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.celerygw.core.store.Table;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.Reservation;
import org.celerygw.core.turns.StreamOrigin;
import org.celerygw.core.turns.UpdateResult;
import org.celerygw.standin.Fault;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what the rows of a program tell of the software version at which its streams began. */
public final class StreamOriginTest {
    private static final int SEEDS = Integer.getInteger("celerygw.seeds", 30);
    private static final int FIRST_SEED = Integer.getInteger("celerygw.firstSeed", 1);
    private static final long BUDGET_TOKENS = 1_000_000;
    private static final long RETENTION_MS = 60_000;

    private SimulatedClock clock;
    private List<MemoryTable> partitions;
    private Faults faults;
    private int hostCount;

    @BeforeMethod
    public void start() {
        clock = new SimulatedClock();
        faults = new Faults();
        partitions = IntStream.range(0, 4)
                .mapToObj(i -> new MemoryTable(clock, new Faults()))
                .toList();
    }

    @Test
    public void reservationTellsTheVersionAfterItsHostHasDied() {
        reserve(newHost(), "p", "a", "v1");
        assertOrigin("p", "a", StreamOrigin.Status.KNOWN, "v1");
    }

    @Test
    public void settledStreamIsStillKnown() {
        ProgramStore host = newHost();
        reserve(host, "p", "a", "v1");
        settle(host, "p", "a", "v1");
        assertOrigin("p", "a", StreamOrigin.Status.KNOWN, "v1");
    }

    @Test
    public void streamUnderAnAdvanceReservationIsKnownWithoutAWrite() {
        ProgramStore host = newHost();
        reserve(host, "p", "a", "v1");
        settle(host, "p", "a", "v1");
        long writes = committedWrites();
        reserve(host, "p", "b", "v1");
        assertTrue(host.isReservedAhead("p", "b"));
        assertEquals(host.storedStreamVersion("p", "b"), Optional.of("v1"));
        assertEquals(committedWrites(), writes);
        assertOrigin("p", "b", StreamOrigin.Status.KNOWN, "v1");
    }

    /** Guards against a stream that is taken for one of the version that the program's next turns were reserved at. */
    @Test
    public void streamIsUnknownWhileAdvanceReservationsNameSeveralVersions() {
        ProgramStore host = newHost();
        reserve(host, "p", "a", "v1");
        reserve(host, "p", "b", "v1");
        assertTrue(host.isReservedAhead("p", "b"));
        reserve(host, "p", "c", "v1");
        record(host, "p", "c", "v2");
        settle(host, "p", "c", "v2");
        assertOrigin("p", "c", StreamOrigin.Status.KNOWN, "v2");
        assertOrigin("p", "b", StreamOrigin.Status.UNKNOWN, "");
        record(host, "p", "b", "v1");
        assertOrigin("p", "b", StreamOrigin.Status.KNOWN, "v1");
    }

    @Test
    public void recordedVersionReplacesTheExpectedOne() {
        ProgramStore host = newHost();
        reserve(host, "p", "a", "v1");
        record(host, "p", "a", "v2");
        assertEquals(host.storedStreamVersion("p", "a"), Optional.of("v2"));
        assertOrigin("p", "a", StreamOrigin.Status.KNOWN, "v2");
    }

    @Test
    public void streamWithoutBudgetIsRecordedInARowOfItsOwn() {
        record(newHost(), "alone-a", "a", "v1");
        assertOrigin("alone-a", "a", StreamOrigin.Status.KNOWN, "v1");
        assertOrigin("alone-b", "b", StreamOrigin.Status.UNKNOWN, "");
    }

    @Test
    public void oldestOfVeryManyStreamsIsUnknownAndNotGuessed() {
        ProgramStore host = newHost();
        for (int i = 0; i < 150; i++) {
            reserve(host, "p", "t" + i, "v1");
            settle(host, "p", "t" + i, "v1");
        }
        assertOrigin("p", "t149", StreamOrigin.Status.KNOWN, "v1");
        assertOrigin("p", "t0", StreamOrigin.Status.UNKNOWN, "");
    }

    @Test
    public void originIsReportedAsUnavailableWhileTheStoreIsDown() {
        reserve(newHost(), "p", "a", "v1");
        faults.injectAlways(Fault.DOWN);
        assertOrigin("p", "a", StreamOrigin.Status.UNAVAILABLE, "");
    }

    /**
     * Hosts of which any may die, or all at once, run streams of few programs at two versions, with lost answers of the
     * store. Whoever resumes a stream learns its version or nothing.
     */
    @Test
    public void versionOfAStreamIsNeverWrongWhateverHostsDie() {
        int known = 0;
        int unknown = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            start();
            RandomStreams streams = new RandomStreams(new Random(seed));
            IntStream.range(0, 150).forEach(i -> streams.step());
            known += streams.known;
            unknown += streams.unknown;
        }
        // Most streams can be resumed although the versions change all the time.
        assertTrue(known > 2 * unknown, known + " known, " + unknown + " unknown");
    }

    /** Streams of random programs and hosts; a host behaves as one that forwards streams does. */
    private final class RandomStreams {
        private final Random random;
        private final List<ProgramStore> hosts = new ArrayList<>();
        private final List<Stream> running = new ArrayList<>();
        private final Map<Stream, String> delivered = new HashMap<>();
        private int nextTurn;
        private int known;
        private int unknown;

        private record Stream(ProgramStore host, String program, String turn, String version) {}

        RandomStreams(Random random) {
            this.random = random;
            IntStream.range(0, 3).forEach(i -> hosts.add(newHost()));
        }

        void step() {
            if (random.nextInt(10) == 0) {
                faults.injectNext(Fault.LOST_ANSWER, 1 + random.nextInt(3));
            }
            switch (random.nextInt(12)) {
                case 0 -> kill(random.nextInt(hosts.size()));
                case 1 -> {
                    if (random.nextInt(4) == 0) {
                        IntStream.range(0, hosts.size()).forEach(this::kill);
                    }
                }
                case 2, 3, 4 -> end();
                case 5, 6 -> resume();
                default -> begin();
            }
        }

        private void kill(int index) {
            ProgramStore dead = hosts.set(index, newHost());
            running.removeIf(stream -> stream.host() == dead);
        }

        private void begin() {
            ProgramStore host = hosts.get(random.nextInt(hosts.size()));
            String version = random.nextInt(5) == 0 ? "v2" : "v1";
            Stream stream = new Stream(host, "p" + random.nextInt(3), "t" + nextTurn++, version);
            String expected = random.nextInt(4) == 0 ? "v2" : version;
            if (reserve(host, stream.program(), stream.turn(), expected) != UpdateResult.COMMITTED) {
                return;
            }
            running.add(stream);
            boolean stored =
                    host.storedStreamVersion(stream.program(), stream.turn()).equals(Optional.of(version));
            if (stored || record(host, stream.program(), stream.turn(), version) == UpdateResult.COMMITTED) {
                delivered.put(stream, version);
            }
        }

        private void end() {
            if (!running.isEmpty()) {
                Stream stream = running.remove(random.nextInt(running.size()));
                String version = delivered.getOrDefault(stream, "");
                stream.host()
                        .settle(stream.program(), stream.turn(), 1, version, null, clock.nowMs() + 900, result -> {});
                clock.advance(random.nextInt(100));
            }
        }

        private void resume() {
            delivered.forEach((stream, version) -> {
                ProgramStore host = hosts.get(random.nextInt(hosts.size()));
                StreamOrigin origin = readOrigin(host, stream.program(), stream.turn());
                if (origin.status() == StreamOrigin.Status.KNOWN) {
                    assertEquals(origin.softwareVersion(), version, stream.turn());
                    known++;
                } else {
                    unknown++;
                }
            });
        }
    }

    private ProgramStore newHost() {
        List<Table> tables =
                partitions.stream().map(p -> (Table) p.viewFor(clock, faults)).toList();
        return new ProgramStore(tables, "host" + ++hostCount, clock, clock, 60_000, 1_000_000);
    }

    private long committedWrites() {
        return partitions.stream().mapToLong(MemoryTable::writeCount).sum();
    }

    private UpdateResult reserve(ProgramStore host, String program, String turn, String version) {
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        host.reserve(
                new Reservation(program, turn, 10, BUDGET_TOKENS, RETENTION_MS, version),
                clock.nowMs() + 900,
                result::set);
        clock.advance(1_000);
        return result.get();
    }

    private UpdateResult record(ProgramStore host, String program, String turn, String version) {
        AtomicReference<UpdateResult> result = new AtomicReference<>();
        host.recordStream(program, turn, version, RETENTION_MS, clock.nowMs() + 900, result::set);
        clock.advance(1_000);
        return result.get();
    }

    private void settle(ProgramStore host, String program, String turn, String version) {
        host.settle(program, turn, 1, version, null, clock.nowMs() + 900, result -> {});
        clock.advance(1_000);
    }

    private StreamOrigin readOrigin(ProgramStore host, String program, String turn) {
        AtomicReference<StreamOrigin> origin = new AtomicReference<>();
        host.readStreamVersion(program, turn, clock.nowMs() + 900, origin::set);
        clock.advance(1_000);
        return origin.get();
    }

    private void assertOrigin(String program, String turn, StreamOrigin.Status status, String version) {
        StreamOrigin origin = readOrigin(newHost(), program, turn);
        assertEquals(origin.status(), status);
        assertEquals(origin.softwareVersion(), version);
    }
}
