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
import org.celerygw.core.program.Programs;
import org.celerygw.core.store.ObjectStore;

/** Writes snapshots of slots as objects; a write that fails is repeated until the store took it. */
final class Snapshots {
    private static final long RETRY_MS = 200;

    private final HostId host;
    private final ObjectStore objects;
    private final Programs programs;
    private final Journal journal;
    private final Set<Put> puts = new HashSet<>();
    private long written;
    private long nowMs;

    Snapshots(HostId host, ObjectStore objects, Programs programs, Journal journal) {
        this.host = host;
        this.objects = objects;
        this.programs = programs;
        this.journal = journal;
    }

    private static final class Put {
        private final String name;
        private final ByteString content;
        private final Runnable done;
        private boolean asked;
        private long nextTryMs;

        private Put(String name, ByteString content, Runnable done) {
            this.name = name;
            this.content = content;
            this.done = done;
        }
    }

    /** Writes the state of slots as it is now and gives the pointer once the object is stored. */
    void write(List<Ownership.Claim> slots, List<Tally> tallies, Consumer<SnapshotPointer> done) {
        Snapshot.Builder snapshot = Snapshot.newBuilder().setSeq(journal.seq()).addAllTallies(tallies);
        slots.forEach(c -> snapshot.addSlots(
                Stint.newBuilder().setSlot(c.slot().number()).setFromSeq(c.row().getFromSeq())));
        slots.forEach(c -> programs.in(c.slot()).forEach(p -> snapshot.addPrograms(p.image())));
        ByteString content = snapshot.build().toByteString();
        String name = "snapshot/" + host + "/" + (++written);
        SnapshotPointer pointer = SnapshotPointer.newBuilder()
                .setSeq(snapshot.getSeq())
                .setObject(name)
                .setSha256(ByteString.copyFrom(Hashing.sha256()
                        .hashBytes(content.asReadOnlyByteBuffer())
                        .asBytes()))
                .build();
        puts.add(new Put(name, content, () -> done.accept(pointer)));
        push();
    }

    void tick(long atMs) {
        nowMs = atMs;
        push();
    }

    private void push() {
        List.copyOf(puts).stream().filter(p -> !p.asked && nowMs >= p.nextTryMs).forEach(p -> {
            p.asked = true;
            p.nextTryMs = nowMs + RETRY_MS;
            objects.put(p.name, p.content, ok -> stored(p, ok));
        });
    }

    private void stored(Put put, boolean ok) {
        put.asked = false;
        if (ok && puts.remove(put)) {
            put.done.run();
        }
    }

    /** Returns the batches of this host's journal that hold content of the programs. */
    Set<Long> referred(Collection<Program> some) {
        Set<Long> batches = new HashSet<>();
        some.forEach(p -> add(batches, p.image()));
        return batches;
    }

    private void add(Set<Long> batches, Image image) {
        image.getCallsList().forEach(c -> {
            if (c.getRequest().getHost().equals(host.value())) {
                batches.add(c.getRequest().getSeq());
            }
            if (c.getAnswer().getHost().equals(host.value())) {
                batches.add(c.getAnswer().getSeq());
            }
        });
    }
}
