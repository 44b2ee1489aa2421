package org.celerygw.core.journal;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import org.celerygw.core.gen.state.Batch;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Head;
import org.celerygw.core.gen.state.Ref;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.id.HostId;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.jspecify.annotations.Nullable;

/**
 * The journal of one host incarnation. Every write is conditional on the version of the head row, and so every
 * write after another host sealed the head fails: this fences a host that was paused.
 */
public final class Journal {
    /** Table writes a second that all journals of the fleet may use together. */
    static final long FLEET_WRITES_PER_S = 250;

    /** Writes that may follow each other at once after a quiet time; on average the interval holds. */
    private static final int BURST_WRITES = 4;

    private static final long RETRY_FIRST_MS = 20;
    private static final long RETRY_LONGEST_MS = 500;

    private final HostId host;
    private final Table table;
    private final ObjectStore objects;
    private final Pace pace;
    private final Runnable deposed;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final Deque<Barrier> barriers = new ArrayDeque<>();
    private long appended;
    private long durable;
    private long headVersion;
    private long writeNumber;
    private long confirmedMs = Long.MIN_VALUE / 2;
    private long committedNumber;
    private long seq;
    private SnapshotPointer snapshot = SnapshotPointer.getDefaultInstance();
    private boolean headDirty;
    private @Nullable Runnable pointed;
    private boolean opened;
    private boolean stopped;
    private int owners = 1;
    private long lastStartMs = Long.MIN_VALUE / 2;
    private long paidUntilMs = Long.MIN_VALUE / 2;
    private @Nullable Flight flight;

    /**
     * Makes a journal that does not exist yet; the first {@link #tick} creates it.
     *
     * @param host this incarnation
     * @param table where head and batches go
     * @param objects where large batches go
     * @param pace when it writes
     * @param deposed called once when the journal was sealed by another host
     */
    public Journal(HostId host, Table table, ObjectStore objects, Pace pace, Runnable deposed) {
        this.host = host;
        this.table = table;
        this.objects = objects;
        this.pace = pace;
        this.deposed = deposed;
    }

    /**
     * When a journal writes.
     *
     * @param commitIntervalMs the least time between two writes, on average
     * @param batchRecords the most entries in a write
     * @param heartbeatMs the longest time without a write
     * @param inlineBytes a batch larger than this goes to an object
     */
    public record Pace(long commitIntervalMs, int batchRecords, long heartbeatMs, int inlineBytes) {}

    private record Barrier(long appended, Runnable task) {}

    private record Waiting(Entry entry, BiConsumer<Entry, Ref> durable) {}

    private static final class Flight {
        private final long number;
        private final long seq;
        private final List<Waiting> entries;
        private final SnapshotPointer snapshot;
        private ByteString batch = ByteString.EMPTY;
        private @Nullable ByteString segment;
        private @Nullable Txn txn;
        private boolean asked;
        private long retryMs = RETRY_FIRST_MS;
        private long nextTryMs;

        private Flight(long number, long seq, List<Waiting> entries, SnapshotPointer snapshot) {
            this.number = number;
            this.seq = seq;
            this.entries = entries;
            this.snapshot = snapshot;
        }
    }

    /**
     * Queues an entry for the next batch.
     *
     * @param entry the entry
     * @param durable called with the entry's place once it is durable
     */
    public void append(Entry entry, BiConsumer<Entry, Ref> durable) {
        queue.add(new Waiting(entry, durable));
        appended++;
    }

    /**
     * Runs a task once everything appended so far is durable.
     *
     * @param task the task
     */
    public void afterAppended(Runnable task) {
        barriers.add(new Barrier(appended, task));
        runBarriers();
    }

    private void runBarriers() {
        while (!barriers.isEmpty() && barriers.element().appended() <= durable) {
            barriers.remove().task().run();
        }
    }

    /**
     * Names a stored snapshot in the head from the next write on.
     *
     * @param pointer the snapshot
     * @param durable run once the head names it
     */
    public void pointTo(SnapshotPointer pointer, Runnable durable) {
        snapshot = pointer;
        headDirty = true;
        pointed = durable;
    }

    /**
     * Sets among how many journals the fleet's writes are divided.
     *
     * @param owners the owners alive, this one included
     */
    public void shareAmong(int owners) {
        this.owners = Math.max(1, owners);
    }

    /**
     * Starts or repeats a write when it is time.
     *
     * @param nowMs the time now
     */
    public void tick(long nowMs) {
        if (stopped) {
            return;
        }
        if (flight == null && isDue(nowMs)) {
            takeOff(nowMs);
        }
        if (flight != null && !flight.asked && nowMs >= flight.nextTryMs) {
            push(flight, nowMs);
        }
    }

    private boolean isDue(long nowMs) {
        long waitedMs = nowMs - lastStartMs;
        if (!opened || waitedMs >= pace.heartbeatMs()) {
            return true;
        }
        return hasCredit(nowMs) && (!queue.isEmpty() || headDirty);
    }

    /** Each write pays for one interval; a journal may be in debt for as many as a burst has. */
    private boolean hasCredit(long nowMs) {
        return paidUntilMs - nowMs <= (BURST_WRITES - 1) * intervalMs();
    }

    /**
     * Returns the time between two writes while there is always something to write.
     *
     * @return milliseconds
     */
    public long intervalMs() {
        return Math.max(pace.commitIntervalMs(), owners * 1000L / FLEET_WRITES_PER_S);
    }

    private void takeOff(long nowMs) {
        lastStartMs = nowMs;
        paidUntilMs = Math.max(paidUntilMs, nowMs) + intervalMs();
        headDirty = false;
        List<Waiting> entries = new ArrayList<>();
        while (opened && !queue.isEmpty() && entries.size() < pace.batchRecords()) {
            entries.add(queue.remove());
        }
        long batchSeq = entries.isEmpty() ? seq : seq + 1;
        Flight f = new Flight(++writeNumber, batchSeq, entries, snapshot);
        flight = f;
        if (!entries.isEmpty()) {
            fill(f);
        }
    }

    private void fill(Flight f) {
        Batch.Builder batch = Batch.newBuilder();
        f.entries.forEach(w -> batch.addEntries(w.entry()));
        Batch whole = batch.build();
        if (whole.getSerializedSize() <= pace.inlineBytes()) {
            f.batch = batch.setWriteNumber(f.number).build().toByteString();
            return;
        }
        f.segment = whole.toByteString();
        f.batch = Batch.newBuilder()
                .setWriteNumber(f.number)
                .setObject("segment/" + host + "/" + f.seq)
                .setSha256(sha256(f.segment))
                .addAllPrograms(f.entries.stream()
                        .map(w -> w.entry().getProgram())
                        .distinct()
                        .toList())
                .build()
                .toByteString();
    }

    private void push(Flight f, long nowMs) {
        f.asked = true;
        f.nextTryMs = nowMs + f.retryMs;
        f.retryMs = Math.min(RETRY_LONGEST_MS, f.retryMs * 2);
        ByteString segment = f.segment;
        if (segment != null) {
            objects.put("segment/" + host + "/" + f.seq, segment, ok -> stored(f, ok));
            return;
        }
        if (f.txn == null) {
            f.txn = txn(f);
        }
        table.write(f.txn, result -> written(f, result));
    }

    private void stored(Flight f, boolean ok) {
        f.asked = false;
        if (ok) {
            f.segment = null;
            f.nextTryMs = 0;
        }
    }

    private Txn txn(Flight f) {
        Head head = Head.newBuilder()
                .setSeq(f.seq)
                .setWriteNumber(f.number)
                .setSnapshot(f.snapshot)
                .build();
        List<Txn.Change> changes = new ArrayList<>();
        changes.add(Txn.Change.put(Keys.head(host), head.toByteString()));
        if (!f.entries.isEmpty()) {
            changes.add(Txn.Change.put(Keys.batch(host.value(), f.seq), f.batch));
        }
        return new Txn(List.of(new Txn.Condition(Keys.head(host), headVersion)), changes);
    }

    private void written(Flight f, TxnResult result) {
        f.asked = false;
        switch (result.status()) {
            case COMMITTED -> committed(f, headVersion + 1);
            case CONFLICT -> settle(f, result.found().get(0));
            case UNKNOWN -> {
                // The very same write is repeated: only one copy can meet the condition.
            }
        }
    }

    private void settle(Flight f, Row found) {
        Head head = parseHead(found.value());
        // A sealed journal belongs to those who replay it, even where the last write of its host is in it.
        boolean sealed = !head.getSealedBy().isEmpty();
        if (sealed || (!found.exists() && committedNumber > 0)) {
            stop();
            return;
        }
        if (head.getWriteNumber() == f.number) {
            committed(f, found.version());
            return;
        }
        if (head.getWriteNumber() != committedNumber) {
            stop();
            return;
        }
        headVersion = found.version();
        f.txn = null;
    }

    private void committed(Flight f, long version) {
        headVersion = version;
        committedNumber = f.number;
        confirmedMs = lastStartMs;
        seq = f.seq;
        opened = true;
        flight = null;
        for (int i = 0; i < f.entries.size(); i++) {
            Ref ref = Ref.newBuilder()
                    .setHost(host.value())
                    .setSeq(f.seq)
                    .setIndex(i)
                    .build();
            Waiting w = f.entries.get(i);
            durable++;
            w.durable().accept(w.entry(), ref);
        }
        Runnable named = pointed;
        if (named != null && f.snapshot.equals(snapshot)) {
            pointed = null;
            named.run();
        }
        runBarriers();
    }

    private void stop() {
        if (!stopped) {
            stopped = true;
            deposed.run();
        }
    }

    /**
     * Returns whether the journal exists in the table and was not sealed as far as is known.
     *
     * @return true when entries can become durable
     */
    public boolean isOpen() {
        return opened && !stopped;
    }

    /**
     * Returns when the last write that took effect was begun; nobody counts a lease from an earlier time.
     *
     * @return by this host's clock, in milliseconds since 1970
     */
    public long confirmedMs() {
        return confirmedMs;
    }

    /**
     * Returns the last durable batch.
     *
     * @return its number, from 1; 0 when there is none
     */
    public long seq() {
        return seq;
    }

    /**
     * Returns the first batch that can still take an entry.
     *
     * @return its number
     */
    public long nextSeq() {
        return flight == null ? seq + 1 : flight.seq + 1;
    }

    /**
     * Returns the entries that are not durable yet.
     *
     * @return how many
     */
    public int backlog() {
        return queue.size() + (flight == null ? 0 : flight.entries.size());
    }

    static Head parseHead(ByteString value) {
        try {
            return Head.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            return Head.newBuilder().setSealedBy("unreadable").build();
        }
    }

    static ByteString sha256(ByteString content) {
        return ByteString.copyFrom(
                Hashing.sha256().hashBytes(content.asReadOnlyByteBuffer()).asBytes());
    }
}
