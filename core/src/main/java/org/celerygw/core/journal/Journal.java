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
 * The write-ahead journal of one host incarnation. Entries are committed in batches (group commit). Every write is
 * conditional on the version of the head row, so all writes fail once another host has sealed the head: this fences
 * a host that was paused and resumes after its journal was taken over.
 */
public final class Journal {
    /** Table writes per second that all journals of the fleet may use together. */
    static final long MAX_FLEET_WRITES_PER_S = 250;

    /** Writes that may start back to back after an idle period; the average rate stays one write per interval. */
    private static final int MAX_BURST_WRITES = 4;

    private static final long INITIAL_RETRY_MS = 20;
    private static final long MAX_RETRY_MS = 500;

    private final HostId host;
    private final Table table;
    private final ObjectStore objects;
    private final Settings settings;
    private final Runnable onFenced;
    private final Deque<QueuedEntry> queue = new ArrayDeque<>();
    private final Deque<Barrier> barriers = new ArrayDeque<>();
    private long appendedCount;
    private long durableCount;
    private long headVersion;
    private long lastWriteNumber;
    private long lastCommitStartMs = Long.MIN_VALUE / 2;
    private long committedWriteNumber;
    private long lastDurableSeq;
    private SnapshotPointer snapshot = SnapshotPointer.getDefaultInstance();
    private boolean headDirty;
    private @Nullable Runnable onSnapshotPublished;
    private boolean created;
    private boolean fenced;
    private int ownerCount = 1;
    private long lastWriteStartMs = Long.MIN_VALUE / 2;
    private long nextRegularWriteMs = Long.MIN_VALUE / 2;
    private @Nullable PendingWrite pendingWrite;

    /**
     * Creates a journal whose head row does not exist yet; the first {@link #tick} writes it.
     *
     * @param host this host incarnation
     * @param table stores the head row and the batch rows
     * @param objects stores batches that are too large for a row
     * @param settings when to write and how much
     * @param onFenced called once when the journal can no longer be written, usually because another host sealed it
     */
    public Journal(HostId host, Table table, ObjectStore objects, Settings settings, Runnable onFenced) {
        this.host = host;
        this.table = table;
        this.objects = objects;
        this.settings = settings;
        this.onFenced = onFenced;
    }

    /**
     * When a journal writes and how large a batch may be.
     *
     * @param commitIntervalMs the minimum time between two writes, on average
     * @param batchRecords the maximum number of entries in a batch
     * @param heartbeatMs the maximum time without a write
     * @param inlineBytes the maximum size of a batch stored in its row; a larger one is stored as an object
     */
    public record Settings(long commitIntervalMs, int batchRecords, long heartbeatMs, int inlineBytes) {}

    private record Barrier(long appendedCount, Runnable task) {}

    private record QueuedEntry(Entry entry, BiConsumer<Entry, Ref> onDurable) {}

    private static final class PendingWrite {
        private final long writeNumber;
        private final long seq;
        private final List<QueuedEntry> entries;
        private final SnapshotPointer snapshot;
        private ByteString batchRow = ByteString.EMPTY;
        private @Nullable ByteString segment;
        private @Nullable Txn txn;
        private boolean requestInFlight;
        private long retryMs = INITIAL_RETRY_MS;
        private long nextAttemptMs;

        private PendingWrite(long writeNumber, long seq, List<QueuedEntry> entries, SnapshotPointer snapshot) {
            this.writeNumber = writeNumber;
            this.seq = seq;
            this.entries = entries;
            this.snapshot = snapshot;
        }
    }

    /**
     * Queues an entry for the next batch.
     *
     * @param entry the entry
     * @param onDurable called with the entry and its reference once it is durable
     */
    public void append(Entry entry, BiConsumer<Entry, Ref> onDurable) {
        queue.add(new QueuedEntry(entry, onDurable));
        appendedCount++;
    }

    /**
     * Runs a task once all entries appended so far are durable; at once when they already are.
     *
     * @param task the task
     */
    public void runWhenDurable(Runnable task) {
        barriers.add(new Barrier(appendedCount, task));
        runBarriers();
    }

    private void runBarriers() {
        while (!barriers.isEmpty() && barriers.element().appendedCount() <= durableCount) {
            barriers.remove().task().run();
        }
    }

    /**
     * Stores a pointer to a snapshot in the head row from the next write on.
     *
     * @param pointer the snapshot, which is stored already
     * @param onPublished run once a head row with this pointer is committed
     */
    public void publishSnapshot(SnapshotPointer pointer, Runnable onPublished) {
        snapshot = pointer;
        headDirty = true;
        onSnapshotPublished = onPublished;
    }

    /**
     * Sets the number of journals that share the fleet's write rate.
     *
     * @param owners the owners alive, including this one; values below 1 count as 1
     */
    public void setOwnerCount(int owners) {
        this.ownerCount = Math.max(1, owners);
    }

    /**
     * Starts the next write or retries the pending one when it is due.
     *
     * @param nowMs the current time
     */
    public void tick(long nowMs) {
        if (fenced) {
            return;
        }
        if (pendingWrite == null && isDue(nowMs)) {
            startWrite(nowMs);
        }
        if (pendingWrite != null && !pendingWrite.requestInFlight && nowMs >= pendingWrite.nextAttemptMs) {
            sendWrite(pendingWrite, nowMs);
        }
    }

    private boolean isDue(long nowMs) {
        long sinceLastWriteMs = nowMs - lastWriteStartMs;
        if (!created || sinceLastWriteMs >= settings.heartbeatMs()) {
            return true;
        }
        return isWithinRateLimit(nowMs) && (!queue.isEmpty() || headDirty);
    }

    /**
     * Each write moves the next regular write time by one interval; a write may start up to
     * {@code MAX_BURST_WRITES - 1} intervals before that time.
     */
    private boolean isWithinRateLimit(long nowMs) {
        return nextRegularWriteMs - nowMs <= (MAX_BURST_WRITES - 1) * intervalMs();
    }

    /**
     * Returns the average time between two writes under continuous load: the commit interval, or longer when the
     * fleet's write rate divided by the number of owners allows less.
     *
     * @return milliseconds
     */
    public long intervalMs() {
        return Math.max(settings.commitIntervalMs(), ownerCount * 1000L / MAX_FLEET_WRITES_PER_S);
    }

    private void startWrite(long nowMs) {
        lastWriteStartMs = nowMs;
        nextRegularWriteMs = Math.max(nextRegularWriteMs, nowMs) + intervalMs();
        headDirty = false;
        List<QueuedEntry> entries = new ArrayList<>();
        while (created && !queue.isEmpty() && entries.size() < settings.batchRecords()) {
            entries.add(queue.remove());
        }
        long batchSeq = entries.isEmpty() ? lastDurableSeq : lastDurableSeq + 1;
        PendingWrite write = new PendingWrite(++lastWriteNumber, batchSeq, entries, snapshot);
        pendingWrite = write;
        if (!entries.isEmpty()) {
            encodeBatch(write);
        }
    }

    private void encodeBatch(PendingWrite write) {
        Batch.Builder batch = Batch.newBuilder();
        write.entries.forEach(e -> batch.addEntries(e.entry()));
        Batch entriesOnly = batch.build();
        if (entriesOnly.getSerializedSize() <= settings.inlineBytes()) {
            write.batchRow = batch.setWriteNumber(write.writeNumber).build().toByteString();
            return;
        }
        write.segment = entriesOnly.toByteString();
        write.batchRow = Batch.newBuilder()
                .setWriteNumber(write.writeNumber)
                .setObject("segment/" + host + "/" + write.seq)
                .setSha256(sha256(write.segment))
                .addAllPrograms(write.entries.stream()
                        .map(e -> e.entry().getProgram())
                        .distinct()
                        .toList())
                .build()
                .toByteString();
    }

    private void sendWrite(PendingWrite write, long nowMs) {
        write.requestInFlight = true;
        write.nextAttemptMs = nowMs + write.retryMs;
        write.retryMs = Math.min(MAX_RETRY_MS, write.retryMs * 2);
        ByteString segment = write.segment;
        if (segment != null) {
            objects.put("segment/" + host + "/" + write.seq, segment, stored -> onSegmentResult(write, stored));
            return;
        }
        if (write.txn == null) {
            write.txn = buildTxn(write);
        }
        table.write(write.txn, result -> onWriteResult(write, result));
    }

    private void onSegmentResult(PendingWrite write, boolean stored) {
        write.requestInFlight = false;
        if (stored) {
            write.segment = null;
            write.nextAttemptMs = 0;
        }
    }

    private Txn buildTxn(PendingWrite write) {
        Head head = Head.newBuilder()
                .setSeq(write.seq)
                .setWriteNumber(write.writeNumber)
                .setSnapshot(write.snapshot)
                .build();
        List<Txn.Change> changes = new ArrayList<>();
        changes.add(Txn.Change.put(RowKeys.head(host), head.toByteString()));
        if (!write.entries.isEmpty()) {
            changes.add(Txn.Change.put(RowKeys.batch(host.value(), write.seq), write.batchRow));
        }
        return new Txn(List.of(new Txn.Condition(RowKeys.head(host), headVersion)), changes);
    }

    private void onWriteResult(PendingWrite write, TxnResult result) {
        write.requestInFlight = false;
        switch (result.status()) {
            case COMMITTED -> onCommitted(write, headVersion + 1);
            case CONFLICT -> resolveConflict(write, result.currentRows().get(0));
            case UNKNOWN -> {
                // The same transaction is sent again: its condition lets at most one of the copies commit.
            }
        }
    }

    private void resolveConflict(PendingWrite write, Row current) {
        Head head = parseHead(current.value());
        // A sealed journal belongs to the hosts that replay it, even if it contains this host's last write.
        boolean sealed = !head.getSealedBy().isEmpty();
        if (sealed || (!current.exists() && committedWriteNumber > 0)) {
            fence();
            return;
        }
        if (head.getWriteNumber() == write.writeNumber) {
            onCommitted(write, current.version());
            return;
        }
        if (head.getWriteNumber() != committedWriteNumber) {
            fence();
            return;
        }
        headVersion = current.version();
        write.txn = null;
    }

    private void onCommitted(PendingWrite write, long version) {
        headVersion = version;
        committedWriteNumber = write.writeNumber;
        lastCommitStartMs = lastWriteStartMs;
        lastDurableSeq = write.seq;
        created = true;
        pendingWrite = null;
        for (int i = 0; i < write.entries.size(); i++) {
            Ref ref = Ref.newBuilder()
                    .setHost(host.value())
                    .setSeq(write.seq)
                    .setIndex(i)
                    .build();
            QueuedEntry e = write.entries.get(i);
            durableCount++;
            e.onDurable().accept(e.entry(), ref);
        }
        Runnable onPublished = onSnapshotPublished;
        if (onPublished != null && write.snapshot.equals(snapshot)) {
            onSnapshotPublished = null;
            onPublished.run();
        }
        runBarriers();
    }

    private void fence() {
        if (!fenced) {
            fenced = true;
            onFenced.run();
        }
    }

    /**
     * Returns whether the head row was created and the journal is not known to be fenced.
     *
     * @return true when entries can become durable
     */
    public boolean isOpen() {
        return created && !fenced;
    }

    /**
     * Returns when the last committed write was started. Other hosts count this host's lease from this time or later.
     *
     * @return milliseconds since 1970 by this host's clock; far in the past before the first commit
     */
    public long lastCommitStartMs() {
        return lastCommitStartMs;
    }

    /**
     * Returns the sequence number of the last durable batch.
     *
     * @return the sequence number, from 1; 0 when there is none
     */
    public long lastDurableSeq() {
        return lastDurableSeq;
    }

    /**
     * Returns the sequence number of the first batch that can still accept entries.
     *
     * @return the number after the last durable batch or after the one being written
     */
    public long nextSeq() {
        return pendingWrite == null ? lastDurableSeq + 1 : pendingWrite.seq + 1;
    }

    /**
     * Returns the number of entries that are not durable yet.
     *
     * @return queued entries and those of the pending write
     */
    public int backlog() {
        return queue.size() + (pendingWrite == null ? 0 : pendingWrite.entries.size());
    }

    static Head parseHead(ByteString value) {
        try {
            return Head.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            // A head row that cannot be parsed counts as sealed, so that nothing is written after it.
            return Head.newBuilder().setSealedBy("unreadable").build();
        }
    }

    static ByteString sha256(ByteString content) {
        return ByteString.copyFrom(
                Hashing.sha256().hashBytes(content.asReadOnlyByteBuffer()).asBytes());
    }
}
