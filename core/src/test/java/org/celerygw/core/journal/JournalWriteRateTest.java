package org.celerygw.core.journal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.fail;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.id.HostId;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.testng.annotations.Test;

public final class JournalWriteRateTest {
    private static final long COMMIT_INTERVAL_MS = 20;
    private static final long IDLE_MS = 1_000;

    private final CountingTable table = new CountingTable();
    private final Journal journal = new Journal(
            new HostId("h"),
            table,
            new UnavailableObjectStore(),
            new Journal.Settings(COMMIT_INTERVAL_MS, 100, 1_000_000, 1_000_000),
            () -> fail("journal was fenced although no other host wrote the head row"));

    @Test
    public void allowsShortBurstAfterIdlePeriodAndThenOneWritePerInterval() {
        journal.tick(0);
        List<Long> writeTimesMs = new ArrayList<>();
        for (long nowMs = IDLE_MS; nowMs < IDLE_MS + 100; nowMs++) {
            int writesBefore = table.writes;
            journal.append(Entry.getDefaultInstance(), (entry, ref) -> {});
            journal.tick(nowMs);
            if (table.writes > writesBefore) {
                writeTimesMs.add(nowMs - IDLE_MS);
            }
        }
        assertEquals(writeTimesMs, List.of(0L, 1L, 2L, 3L, 20L, 40L, 60L, 80L));
    }

    /** Commits every write synchronously and counts the writes. */
    private static final class CountingTable implements Table {
        private int writes;

        @Override
        public void write(Txn txn, Consumer<TxnResult> callback) {
            writes++;
            callback.accept(TxnResult.COMMITTED);
        }

        @Override
        public void read(List<String> keys, Consumer<ReadResult> callback) {
            callback.accept(ReadResult.FAILED);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
            callback.accept(ReadResult.FAILED);
        }
    }

    /** Fails every operation. The test does not use it, because its batches are small enough to be stored inline. */
    private static final class UnavailableObjectStore implements ObjectStore {
        @Override
        public void put(String name, ByteString content, Consumer<Boolean> callback) {
            callback.accept(false);
        }

        @Override
        public void get(String name, Consumer<GetResult> callback) {
            callback.accept(new GetResult(Status.UNAVAILABLE, ByteString.EMPTY));
        }

        @Override
        public void delete(String name, Consumer<Boolean> callback) {
            callback.accept(false);
        }
    }
}
