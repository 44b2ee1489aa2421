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
import org.celerygw.core.budget.Tallies;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Head;
import org.celerygw.core.gen.state.Ref;
import org.celerygw.core.gen.state.Snapshot;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.id.HostId;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;

/** Reads snapshots and journals back; repeats what the store does not answer. */
public final class Replay {
    private static final int BATCHES = 64;
    private static final long RETRY_MS = 200;

    private final Table table;
    private final ObjectStore objects;
    private final Contents contents;
    private final List<Runnable> retries = new ArrayList<>();
    private long retryAtMs;

    /**
     * Makes a reader.
     *
     * @param table where heads and batches are
     * @param objects where snapshots and large batches are
     * @param contents reads batches
     */
    public Replay(Table table, ObjectStore objects, Contents contents) {
        this.table = table;
        this.objects = objects;
        this.contents = contents;
    }

    /** What was read of one journal, content left out. */
    public static final class Source {
        private final String host;
        private final long toSeq;
        private Snapshot snapshot = Snapshot.getDefaultInstance();
        private final TreeMap<Long, List<Entry>> batches = new TreeMap<>();
        private final Map<Long, String> damagedBatches = new TreeMap<>();
        private final Map<String, String> damagedPrograms = new HashMap<>();
        private String damagedSnapshot = "";
        private boolean complete;

        private Source(String host, long toSeq) {
            this.host = host;
            this.toSeq = toSeq;
        }

        /**
         * Returns the journal's last snapshot.
         *
         * @return the snapshot; an empty one when there is none
         */
        public Snapshot snapshot() {
            return snapshot;
        }

        /**
         * Walks through the entries of some batches in order.
         *
         * @param fromSeq the first batch
         * @param toSeq the last batch
         * @param visitor given each entry and its place
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
         * Returns why batches or the snapshot can't be trusted for any program.
         *
         * @param fromSeq the first batch
         * @param toSeq the last batch
         * @return the reason; empty when they are whole
         */
        public String damage(long fromSeq, long toSeq) {
            return damagedBatches.entrySet().stream()
                    .filter(e -> e.getKey() >= fromSeq && e.getKey() <= toSeq)
                    .map(Map.Entry::getValue)
                    .findFirst()
                    .orElse(damagedSnapshot);
        }

        /**
         * Returns the programs of which entries are lost.
         *
         * @return the reason for each program
         */
        public Map<String, String> damagedPrograms() {
            return Map.copyOf(damagedPrograms);
        }

        /**
         * Returns what customers spent and reserved through the journal.
         *
         * @return the tallies
         */
        public Tallies tallies() {
            Tallies tallies = new Tallies();
            tallies.addAll(snapshot.getTalliesList());
            forEach(snapshot.getSeq() + 1, toSeq, (entry, ref) -> tallies.add(entry));
            return tallies;
        }

        /**
         * Returns whether the tallies cover all that its host wrote.
         *
         * @return true when nothing is damaged and the journal is sealed
         */
        public boolean isComplete() {
            return complete && damagedSnapshot.isEmpty() && damagedBatches.isEmpty() && damagedPrograms.isEmpty();
        }
    }

    /**
     * Reads a journal from its last snapshot, or from its start when it has none.
     *
     * @param host the journal's host
     * @param toSeq the last batch
     * @param done given what was read
     */
    public void load(String host, long toSeq, Consumer<Source> done) {
        Source source = new Source(host, toSeq);
        String key = Keys.head(new HostId(host));
        table.read(List.of(key), answer -> {
            if (!answer.ok()) {
                retries.add(() -> load(host, toSeq, done));
                return;
            }
            Head head = Journal.parseHead(answer.rows().get(0).value());
            source.complete = !head.getSealedBy().isEmpty() && head.getSeq() == toSeq;
            if (head.getSnapshot().getObject().isEmpty()) {
                batches(source, 1, done);
            } else {
                snapshot(head.getSnapshot(), read -> {
                    source.snapshot = read.snapshot();
                    source.damagedSnapshot = read.damage();
                    batches(source, head.getSnapshot().getSeq() + 1, done);
                });
            }
        });
    }

    /**
     * A snapshot that was read.
     *
     * @param snapshot the snapshot; empty when it is damaged
     * @param damage what is wrong; empty when it is whole
     */
    public record Read(Snapshot snapshot, String damage) {}

    /**
     * Reads a snapshot.
     *
     * @param pointer where it is
     * @param done given the snapshot
     */
    public void snapshot(SnapshotPointer pointer, Consumer<Read> done) {
        objects.get(pointer.getObject(), fetched -> {
            if (fetched.status() == ObjectStore.Status.UNAVAILABLE) {
                retries.add(() -> snapshot(pointer, done));
                return;
            }
            done.accept(check(pointer, fetched));
        });
    }

    private static Read check(SnapshotPointer pointer, ObjectStore.Fetched fetched) {
        ByteString content = fetched.content();
        String damage = pointer.getObject() + " fails its checksum";
        if (fetched.status() == ObjectStore.Status.ABSENT) {
            return new Read(Snapshot.getDefaultInstance(), pointer.getObject() + " is missing");
        }
        if (!Journal.sha256(content).equals(pointer.getSha256())) {
            return new Read(Snapshot.getDefaultInstance(), damage);
        }
        try {
            return new Read(Snapshot.parseFrom(content), "");
        } catch (InvalidProtocolBufferException e) {
            return new Read(Snapshot.getDefaultInstance(), damage);
        }
    }

    private void batches(Source source, long nextSeq, Consumer<Source> done) {
        if (nextSeq > source.toSeq) {
            done.accept(source);
            return;
        }
        String prefix = Keys.batch(source.host, nextSeq - 1);
        String host = prefix.substring(0, prefix.lastIndexOf('/') + 1);
        table.scan(host, prefix, BATCHES, answer -> {
            if (!answer.ok()) {
                retries.add(() -> batches(source, nextSeq, done));
                return;
            }
            take(source, nextSeq, answer.rows(), 0, done);
        });
    }

    private void take(Source source, long firstSeq, List<Row> rows, int index, Consumer<Source> done) {
        if (index >= rows.size() && rows.size() == BATCHES) {
            batches(source, firstSeq, done);
            return;
        }
        String next = index < rows.size() ? rows.get(index).key() : "";
        long seq = firstSeq;
        while (seq <= source.toSeq && !Keys.batch(source.host, seq).equals(next)) {
            source.damagedBatches.put(seq, "row " + Keys.batch(source.host, seq) + " is missing");
            seq++;
        }
        if (seq > source.toSeq) {
            done.accept(source);
            return;
        }
        load(source, seq, rows, index, done);
    }

    private void load(Source source, long seq, List<Row> rows, int index, Consumer<Source> done) {
        contents.load(rows.get(index), loaded -> {
            if (loaded.status() == Contents.Status.UNAVAILABLE) {
                retries.add(() -> load(source, seq, rows, index, done));
                return;
            }
            keep(source, seq, loaded);
            take(source, seq + 1, rows, index + 1, done);
        });
    }

    private static void keep(Source source, long seq, Contents.Loaded loaded) {
        if (loaded.status() == Contents.Status.FOUND) {
            source.batches.put(seq, loaded.entries().stream().map(Replay::strip).toList());
        } else if (loaded.programs().isEmpty()) {
            source.damagedBatches.put(seq, loaded.reason());
        } else {
            loaded.programs().forEach(p -> source.damagedPrograms.put(p, loaded.reason()));
        }
    }

    /** Leaves out bodies and answers, so that a replay holds no more than the state that it leads to. */
    private static Entry strip(Entry entry) {
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
     * Repeats reads that the store did not answer.
     *
     * @param nowMs the time now
     */
    public void tick(long nowMs) {
        if (retries.isEmpty() || nowMs < retryAtMs) {
            return;
        }
        retryAtMs = nowMs + RETRY_MS;
        List<Runnable> due = List.copyOf(retries);
        retries.clear();
        due.forEach(Runnable::run);
    }
}
