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

/** Reads batches back, inline or from their object, and checks that they are whole. */
public final class Contents {
    private final Table table;
    private final ObjectStore objects;

    /**
     * Makes a reader.
     *
     * @param table where batches are
     * @param objects where large batches are
     */
    public Contents(Table table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /** How a read ended. */
    public enum Status {
        /** It is whole. */
        FOUND,
        /** It is missing, torn or altered. */
        DAMAGED,
        /** The store did not answer. */
        UNAVAILABLE
    }

    /**
     * Entries that were read.
     *
     * @param status how the read ended
     * @param entries the entries; empty unless found
     * @param programs the programs whose entries are damaged; empty when that is not known
     * @param reason what is wrong; empty when found
     */
    public record Loaded(Status status, List<Entry> entries, List<String> programs, String reason) {
        static Loaded found(List<Entry> entries) {
            return new Loaded(Status.FOUND, entries, List.of(), "");
        }

        static Loaded damaged(List<String> programs, String reason) {
            return new Loaded(Status.DAMAGED, List.of(), programs, reason);
        }

        static Loaded unavailable() {
            return new Loaded(Status.UNAVAILABLE, List.of(), List.of(), "the store does not answer");
        }
    }

    /**
     * One entry that was read.
     *
     * @param status how the read ended
     * @param entry the entry, or null unless found
     * @param reason what is wrong; empty when found
     */
    public record One(Status status, @Nullable Entry entry, String reason) {}

    /**
     * Reads the entry at a place.
     *
     * @param ref the place
     * @param done given the entry
     */
    public void read(Ref ref, Consumer<One> done) {
        String key = Keys.batch(ref.getHost(), ref.getSeq());
        table.read(List.of(key), answer -> {
            if (!answer.ok()) {
                done.accept(new One(Status.UNAVAILABLE, null, "the store does not answer"));
                return;
            }
            load(answer.rows().get(0), loaded -> done.accept(pick(loaded, ref)));
        });
    }

    private static One pick(Loaded loaded, Ref ref) {
        if (loaded.status() != Status.FOUND) {
            return new One(loaded.status(), null, loaded.reason());
        }
        if (ref.getIndex() >= loaded.entries().size()) {
            return new One(Status.DAMAGED, null, "batch is too short");
        }
        return new One(Status.FOUND, loaded.entries().get(ref.getIndex()), "");
    }

    /**
     * Reads the entries of a batch.
     *
     * @param row the batch's row
     * @param done given the entries
     */
    public void load(Row row, Consumer<Loaded> done) {
        if (!row.exists()) {
            done.accept(Loaded.damaged(List.of(), "row " + row.key() + " is missing"));
            return;
        }
        Batch batch;
        try {
            batch = Batch.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            done.accept(Loaded.damaged(List.of(), "row " + row.key() + " is unreadable"));
            return;
        }
        if (batch.getObject().isEmpty()) {
            done.accept(Loaded.found(batch.getEntriesList()));
            return;
        }
        objects.get(batch.getObject(), fetched -> done.accept(open(batch, fetched)));
    }

    private static Loaded open(Batch batch, ObjectStore.Fetched fetched) {
        return switch (fetched.status()) {
            case UNAVAILABLE -> Loaded.unavailable();
            case ABSENT -> Loaded.damaged(batch.getProgramsList(), batch.getObject() + " is missing");
            case FOUND -> parse(batch, fetched.content());
        };
    }

    private static Loaded parse(Batch batch, ByteString content) {
        if (!Journal.sha256(content).equals(batch.getSha256())) {
            return Loaded.damaged(batch.getProgramsList(), batch.getObject() + " fails its checksum");
        }
        try {
            return Loaded.found(Batch.parseFrom(content).getEntriesList());
        } catch (InvalidProtocolBufferException e) {
            return Loaded.damaged(batch.getProgramsList(), batch.getObject() + " is unreadable");
        }
    }
}
