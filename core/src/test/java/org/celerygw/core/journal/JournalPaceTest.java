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

public final class JournalPaceTest {
    private static final long INTERVAL_MS = 20;
    private static final long QUIET_MS = 1_000;

    private final CountingTable table = new CountingTable();
    private final Journal journal = new Journal(
            new HostId("h"),
            table,
            new NoObjects(),
            new Journal.Pace(INTERVAL_MS, 100, 1_000_000, 1_000_000),
            () -> fail("deposed"));

    @Test
    public void afterAQuietTimeAFewWritesFollowEachOtherAtOnceAndThenOneAnInterval() {
        journal.tick(0);
        List<Long> writesMs = new ArrayList<>();
        for (long nowMs = QUIET_MS; nowMs < QUIET_MS + 100; nowMs++) {
            int before = table.writes;
            journal.append(Entry.getDefaultInstance(), (entry, ref) -> {});
            journal.tick(nowMs);
            if (table.writes > before) {
                writesMs.add(nowMs - QUIET_MS);
            }
        }
        assertEquals(writesMs, List.of(0L, 1L, 2L, 3L, 20L, 40L, 60L, 80L));
    }

    /** Commits every write at once. */
    private static final class CountingTable implements Table {
        private int writes;

        @Override
        public void write(Txn txn, Consumer<TxnResult> done) {
            writes++;
            done.accept(TxnResult.COMMITTED);
        }

        @Override
        public void read(List<String> keys, Consumer<Answer> done) {
            done.accept(Answer.FAILED);
        }

        @Override
        public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
            done.accept(Answer.FAILED);
        }
    }

    /** Is never asked, as the batches are small. */
    private static final class NoObjects implements ObjectStore {
        @Override
        public void put(String name, ByteString content, Consumer<Boolean> done) {
            done.accept(false);
        }

        @Override
        public void get(String name, Consumer<Fetched> done) {
            done.accept(new Fetched(Status.UNAVAILABLE, ByteString.EMPTY));
        }

        @Override
        public void delete(String name, Consumer<Boolean> done) {
            done.accept(false);
        }
    }
}
