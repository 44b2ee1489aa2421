package org.celerygw.core.journal;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.gen.state.Batch;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Ref;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.jspecify.annotations.Nullable;

/** Reads entries and batches of journals, inline or from an object, and verifies the object's checksum. */
public final class BatchReader {
    private final Table table;
    private final ObjectStore objects;

    /**
     * Creates a reader.
     *
     * @param table stores the batch rows
     * @param objects stores the batches that are too large for a row
     */
    public BatchReader(Table table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /** The outcome of a read. */
    public enum Status {
        /** The content was read and is complete. */
        FOUND,
        /** The content is missing, incomplete or altered. */
        DAMAGED,
        /** The store did not respond; the read may be repeated. */
        UNAVAILABLE
    }

    /**
     * The result of reading a batch.
     *
     * @param status the outcome
     * @param entries the entries in order; empty unless found
     * @param programs the programs whose entries are lost if the batch is damaged; empty if they are not known
     * @param reason why there are no entries; empty when found
     */
    public record BatchResult(Status status, List<Entry> entries, List<String> programs, String reason) {
        static BatchResult found(List<Entry> entries) {
            return new BatchResult(Status.FOUND, entries, List.of(), "");
        }

        static BatchResult damaged(List<String> programs, String reason) {
            return new BatchResult(Status.DAMAGED, List.of(), programs, reason);
        }

        static BatchResult unavailable() {
            return new BatchResult(Status.UNAVAILABLE, List.of(), List.of(), "the store did not respond");
        }
    }

    /**
     * The result of reading one entry.
     *
     * @param status the outcome
     * @param entry the entry, or null unless found
     * @param reason why there is no entry; empty when found
     */
    public record EntryResult(Status status, @Nullable Entry entry, String reason) {}

    /**
     * Reads the entry at a reference.
     *
     * @param ref the journal, the batch and the index within the batch
     * @param callback called once with the result
     */
    public void readEntry(Ref ref, Consumer<EntryResult> callback) {
        String key = RowKeys.batch(ref.getHost(), ref.getSeq());
        table.read(List.of(key), result -> {
            if (!result.ok()) {
                callback.accept(new EntryResult(Status.UNAVAILABLE, null, "the store did not respond"));
                return;
            }
            readBatch(result.rows().get(0), batch -> callback.accept(selectEntry(batch, ref)));
        });
    }

    private static EntryResult selectEntry(BatchResult batch, Ref ref) {
        if (batch.status() != Status.FOUND) {
            return new EntryResult(batch.status(), null, batch.reason());
        }
        if (ref.getIndex() >= batch.entries().size()) {
            return new EntryResult(Status.DAMAGED, null, "batch has fewer entries than the reference requires");
        }
        return new EntryResult(Status.FOUND, batch.entries().get(ref.getIndex()), "");
    }

    /**
     * Returns the entries of a batch row, read from an object when the row only points to one.
     *
     * @param row the batch's row
     * @param callback called once with the result
     */
    public void readBatch(Row row, Consumer<BatchResult> callback) {
        if (!row.exists()) {
            callback.accept(BatchResult.damaged(List.of(), "row " + row.key() + " is missing"));
            return;
        }
        Batch batch;
        try {
            batch = Batch.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            callback.accept(BatchResult.damaged(List.of(), "row " + row.key() + " cannot be parsed"));
            return;
        }
        if (batch.getObject().isEmpty()) {
            callback.accept(BatchResult.found(batch.getEntriesList()));
            return;
        }
        objects.get(batch.getObject(), object -> callback.accept(toBatchResult(batch, object)));
    }

    private static BatchResult toBatchResult(Batch batch, ObjectStore.GetResult object) {
        return switch (object.status()) {
            case UNAVAILABLE -> BatchResult.unavailable();
            case ABSENT -> BatchResult.damaged(batch.getProgramsList(), batch.getObject() + " is missing");
            case FOUND -> parseSegment(batch, object.content());
        };
    }

    private static BatchResult parseSegment(Batch batch, ByteString content) {
        if (!Journal.sha256(content).equals(batch.getSha256())) {
            return BatchResult.damaged(batch.getProgramsList(), batch.getObject() + " fails its checksum");
        }
        try {
            return BatchResult.found(Batch.parseFrom(content).getEntriesList());
        } catch (InvalidProtocolBufferException e) {
            return BatchResult.damaged(batch.getProgramsList(), batch.getObject() + " cannot be parsed");
        }
    }
}
