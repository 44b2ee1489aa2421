package org.celerygw.core.journal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.celerygw.core.budget.CustomerTallies;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Head;
import org.celerygw.core.gen.state.Ref;
import org.celerygw.core.gen.state.Snapshot;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.id.HostId;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;

/** Reads snapshots and journals back for recovery; reads that the store does not answer are retried. */
public final class JournalReader {
    private static final int MAX_SCAN_ROWS = 64;
    private static final long RETRY_INTERVAL_MS = 200;

    private final Table table;
    private final ObjectStore objects;
    private final BatchReader batchReader;
    private final List<Runnable> retries = new ArrayList<>();
    private long nextRetryMs;

    /**
     * Creates a reader.
     *
     * @param table stores the head and batch rows
     * @param objects stores the snapshots
     * @param batchReader reads the entries of batch rows
     */
    public JournalReader(Table table, ObjectStore objects, BatchReader batchReader) {
        this.table = table;
        this.objects = objects;
        this.batchReader = batchReader;
    }

    /** What was read of one journal: its last snapshot and the entries after it, without request and response bodies. */
    public static final class LoadedJournal {
        private final String host;
        private final long toSeq;
        private Snapshot snapshot = Snapshot.getDefaultInstance();
        private final TreeMap<Long, List<Entry>> batches = new TreeMap<>();
        private final Map<Long, String> damagedBatches = new TreeMap<>();
        private final Map<String, String> damagedPrograms = new HashMap<>();
        private String snapshotDamage = "";
        private boolean complete;

        private LoadedJournal(String host, long toSeq) {
            this.host = host;
            this.toSeq = toSeq;
        }

        /**
         * Returns the last snapshot that the journal's head points to.
         *
         * @return the snapshot; an empty one when there is none or it is damaged
         */
        public Snapshot snapshot() {
            return snapshot;
        }

        /**
         * Visits the entries of a range of batches in order. Batches that are damaged or were not read are skipped.
         *
         * @param fromSeq the first batch's sequence number
         * @param toSeq the last batch's sequence number, inclusive
         * @param visitor called with each entry and its reference
         */
        public void forEach(long fromSeq, long toSeq, BiConsumer<Entry, Ref> visitor) {
            if (fromSeq > toSeq) {
                return;
            }
            batches.subMap(fromSeq, true, toSeq, true).forEach((seq, entries) -> {
                for (int i = 0; i < entries.size(); i++) {
                    visitor.accept(entries.get(i), ref(seq, i));
                }
            });
        }

        private Ref ref(long seq, int index) {
            return Ref.newBuilder().setHost(host).setSeq(seq).setIndex(index).build();
        }

        /**
         * Returns why a range of batches or the snapshot cannot be used, if it is not known which programs the damage
         * concerns.
         *
         * @param fromSeq the first batch's sequence number
         * @param toSeq the last batch's sequence number, inclusive
         * @return the first reason found; empty when there is no such damage
         */
        public String damageReason(long fromSeq, long toSeq) {
            return damagedBatches.entrySet().stream()
                    .filter(e -> e.getKey() >= fromSeq && e.getKey() <= toSeq)
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse(snapshotDamage);
        }

        /**
         * Returns the programs that lost entries in damaged batches.
         *
         * @return the reason for each program's id
         */
        public Map<String, String> damagedPrograms() {
            return Map.copyOf(damagedPrograms);
        }

        /**
         * Returns the tokens that customers spent and reserved according to the journal.
         *
         * @return the tallies of the snapshot plus those of the entries after it
         */
        public CustomerTallies tallies() {
            CustomerTallies tallies = new CustomerTallies();
            tallies.addAll(snapshot.getTalliesList());
            forEach(snapshot.getSeq() + 1, toSeq, (entry, ref) -> tallies.add(entry));
            return tallies;
        }

        /**
         * Returns whether the tallies cover all entries that the host wrote.
         *
         * @return true when nothing is damaged and the journal is sealed and was read up to its last batch
         */
        public boolean isComplete() {
            return complete && snapshotDamage.isEmpty() && damagedBatches.isEmpty() && damagedPrograms.isEmpty();
        }
    }

    /**
     * Reads a journal from its last snapshot, or from its first batch when it has none.
     *
     * @param host the host incarnation that wrote the journal
     * @param toSeq the sequence number of the last batch to read
     * @param callback called once with what was read, damaged parts included
     */
    public void readJournal(String host, long toSeq, Consumer<LoadedJournal> callback) {
        LoadedJournal journal = new LoadedJournal(host, toSeq);
        String key = RowKeys.head(new HostId(host));
        table.read(List.of(key), result -> {
            if (!result.ok()) {
                retries.add(() -> readJournal(host, toSeq, callback));
                return;
            }
            Head head = Journal.parseHead(result.rows().get(0).value());
            journal.complete = !head.getSealedBy().isEmpty() && head.getSeq() == toSeq;
            if (head.getSnapshot().getObject().isEmpty()) {
                readBatches(journal, 1, callback);
            } else {
                readSnapshot(head.getSnapshot(), read -> {
                    journal.snapshot = read.snapshot();
                    journal.snapshotDamage = read.damageReason();
                    readBatches(journal, head.getSnapshot().getSeq() + 1, callback);
                });
            }
        });
    }

    /**
     * The result of reading a snapshot.
     *
     * @param snapshot the snapshot; empty when it is damaged or missing
     * @param damageReason why the snapshot cannot be used; empty when it is intact
     */
    public record SnapshotResult(Snapshot snapshot, String damageReason) {}

    /**
     * Reads a snapshot and verifies its checksum.
     *
     * @param pointer the snapshot's object and checksum
     * @param callback called once with the result
     */
    public void readSnapshot(SnapshotPointer pointer, Consumer<SnapshotResult> callback) {
        objects.get(pointer.getObject(), object -> {
            if (object.status() == ObjectStore.Status.UNAVAILABLE) {
                retries.add(() -> readSnapshot(pointer, callback));
                return;
            }
            callback.accept(parseSnapshot(pointer, object));
        });
    }

    private static SnapshotResult parseSnapshot(SnapshotPointer pointer, ObjectStore.GetResult object) {
        ByteString content = object.content();
        String damage = pointer.getObject() + " fails its checksum";
        if (object.status() == ObjectStore.Status.ABSENT) {
            return new SnapshotResult(Snapshot.getDefaultInstance(), pointer.getObject() + " is missing");
        }
        if (!Journal.sha256(content).equals(pointer.getSha256())) {
            return new SnapshotResult(Snapshot.getDefaultInstance(), damage);
        }
        try {
            return new SnapshotResult(Snapshot.parseFrom(content), "");
        } catch (InvalidProtocolBufferException e) {
            return new SnapshotResult(Snapshot.getDefaultInstance(), damage);
        }
    }

    private void readBatches(LoadedJournal journal, long nextSeq, Consumer<LoadedJournal> callback) {
        if (nextSeq > journal.toSeq) {
            callback.accept(journal);
            return;
        }
        String afterKey = RowKeys.batch(journal.host, nextSeq - 1);
        String prefix = afterKey.substring(0, afterKey.lastIndexOf('/') + 1);
        table.scan(prefix, afterKey, MAX_SCAN_ROWS, result -> {
            if (!result.ok()) {
                retries.add(() -> readBatches(journal, nextSeq, callback));
                return;
            }
            readNextBatch(journal, nextSeq, result.rows(), 0, callback);
        });
    }

    private void readNextBatch(
            LoadedJournal journal, long nextSeq, List<Row> rows, int index, Consumer<LoadedJournal> callback) {
        if (index >= rows.size() && rows.size() == MAX_SCAN_ROWS) {
            readBatches(journal, nextSeq, callback);
            return;
        }
        String nextKey = index < rows.size() ? rows.get(index).key() : "";
        long seq = nextSeq;
        while (seq <= journal.toSeq && !RowKeys.batch(journal.host, seq).equals(nextKey)) {
            journal.damagedBatches.put(seq, "row " + RowKeys.batch(journal.host, seq) + " is missing");
            seq++;
        }
        if (seq > journal.toSeq) {
            callback.accept(journal);
            return;
        }
        readBatch(journal, seq, rows, index, callback);
    }

    private void readBatch(
            LoadedJournal journal, long seq, List<Row> rows, int index, Consumer<LoadedJournal> callback) {
        batchReader.readBatch(rows.get(index), batch -> {
            if (batch.status() == BatchReader.Status.UNAVAILABLE) {
                retries.add(() -> readBatch(journal, seq, rows, index, callback));
                return;
            }
            addBatch(journal, seq, batch);
            readNextBatch(journal, seq + 1, rows, index + 1, callback);
        });
    }

    private static void addBatch(LoadedJournal journal, long seq, BatchReader.BatchResult batch) {
        if (batch.status() == BatchReader.Status.FOUND) {
            journal.batches.put(
                    seq,
                    batch.entries().stream().map(JournalReader::withoutBodies).toList());
        } else if (batch.programs().isEmpty()) {
            journal.damagedBatches.put(seq, batch.reason());
        } else {
            batch.programs().forEach(p -> journal.damagedPrograms.put(p, batch.reason()));
        }
    }

    /**
     * Removes request and response bodies, keeping their sizes, so that reading a journal takes no more memory than the
     * program state that it results in.
     */
    private static Entry withoutBodies(Entry entry) {
        return switch (entry.getKindCase()) {
            case STARTED ->
                entry.toBuilder()
                        .setStarted(entry.getStarted().toBuilder()
                                .setBodyBytes(entry.getStarted().getBody().size())
                                .clearBody())
                        .build();
            case DONE ->
                entry.toBuilder()
                        .setDone(entry.getDone().toBuilder()
                                .setAnswerBytes(entry.getDone().getAnswer().size())
                                .clearAnswer())
                        .build();
            case SETTLED ->
                entry.toBuilder()
                        .setSettled(entry.getSettled().toBuilder()
                                .setAnswerBytes(entry.getSettled().getAnswer().size())
                                .clearAnswer())
                        .build();
            default -> entry;
        };
    }

    /**
     * Retries the reads that the store did not answer, if the retry interval has passed.
     *
     * @param nowMs the current time
     */
    public void tick(long nowMs) {
        if (retries.isEmpty() || nowMs < nextRetryMs) {
            return;
        }
        nextRetryMs = nowMs + RETRY_INTERVAL_MS;
        List<Runnable> dueRetries = List.copyOf(retries);
        retries.clear();
        dueRetries.forEach(Runnable::run);
    }
}
