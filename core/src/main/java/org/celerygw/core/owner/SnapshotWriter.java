package org.celerygw.core.owner;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.celerygw.core.gen.state.Image;
import org.celerygw.core.gen.state.Snapshot;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.gen.state.Stint;
import org.celerygw.core.gen.state.Tally;
import org.celerygw.core.id.HostId;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.ownership.Ownership;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.ProgramIndex;
import org.celerygw.core.store.ObjectStore;

/** Writes snapshots of slots to the object store; a write is repeated until the store confirms it. */
final class SnapshotWriter {
    private static final long RETRY_MS = 200;

    private final HostId host;
    private final ObjectStore objectStore;
    private final ProgramIndex programs;
    private final Journal journal;
    private final Set<PendingPut> pendingPuts = new HashSet<>();
    private long lastSnapshotNumber;
    private long nowMs;

    SnapshotWriter(HostId host, ObjectStore objectStore, ProgramIndex programs, Journal journal) {
        this.host = host;
        this.objectStore = objectStore;
        this.programs = programs;
        this.journal = journal;
    }

    private static final class PendingPut {
        private final String name;
        private final ByteString content;
        private final Runnable onStored;
        private boolean inFlight;
        private long nextAttemptMs;

        private PendingPut(String name, ByteString content, Runnable onStored) {
            this.name = name;
            this.content = content;
            this.onStored = onStored;
        }
    }

    /**
     * Writes the current state of slots as one object.
     *
     * @param slots the slots with their rows
     * @param tallies what customers have spent through this host's journal; empty if the snapshot is for a handover
     * @param callback receives the pointer to the object once it is stored
     */
    void write(List<Ownership.SlotRecord> slots, List<Tally> tallies, Consumer<SnapshotPointer> callback) {
        Snapshot.Builder snapshot =
                Snapshot.newBuilder().setSeq(journal.lastDurableSeq()).addAllTallies(tallies);
        slots.forEach(owned -> snapshot.addSlots(Stint.newBuilder()
                .setSlot(owned.slot().number())
                .setFromSeq(owned.row().getFromSeq())));
        slots.forEach(
                owned -> programs.inSlot(owned.slot()).forEach(program -> snapshot.addPrograms(program.toImage())));
        ByteString content = snapshot.build().toByteString();
        String name = "snapshot/" + host + "/" + (++lastSnapshotNumber);
        SnapshotPointer pointer = SnapshotPointer.newBuilder()
                .setSeq(snapshot.getSeq())
                .setObject(name)
                .setSha256(ByteString.copyFrom(Hashing.sha256()
                        .hashBytes(content.asReadOnlyByteBuffer())
                        .asBytes()))
                .build();
        pendingPuts.add(new PendingPut(name, content, () -> callback.accept(pointer)));
        sendDuePuts();
    }

    void tick(long timeMs) {
        nowMs = timeMs;
        sendDuePuts();
    }

    private void sendDuePuts() {
        List.copyOf(pendingPuts).stream()
                .filter(put -> !put.inFlight && nowMs >= put.nextAttemptMs)
                .forEach(put -> {
                    put.inFlight = true;
                    put.nextAttemptMs = nowMs + RETRY_MS;
                    objectStore.put(put.name, put.content, stored -> onPutCompleted(put, stored));
                });
    }

    private void onPutCompleted(PendingPut put, boolean stored) {
        put.inFlight = false;
        if (stored && pendingPuts.remove(put)) {
            put.onStored.run();
        }
    }

    /**
     * Returns the numbers of the batches in this host's journal that hold request bodies or answers of the programs.
     */
    Set<Long> batchesWithContent(Collection<Program> selected) {
        Set<Long> batches = new HashSet<>();
        selected.forEach(program -> addBatches(batches, program.toImage()));
        return batches;
    }

    private void addBatches(Set<Long> batches, Image image) {
        image.getCallsList().forEach(call -> {
            if (call.getRequest().getHost().equals(host.value())) {
                batches.add(call.getRequest().getSeq());
            }
            if (call.getAnswer().getHost().equals(host.value())) {
                batches.add(call.getAnswer().getSeq());
            }
        });
    }
}
