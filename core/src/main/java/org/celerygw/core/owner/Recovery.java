package org.celerygw.core.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.celerygw.core.budget.CustomerTallies;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Link;
import org.celerygw.core.gen.state.Snapshot;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.JournalReader;
import org.celerygw.core.ownership.Ownership;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.ProgramIndex;

/** Rebuilds the programs of claimed slots from the snapshots and journals listed in the slots' rows. */
final class Recovery {
    private final JournalReader replay;

    Recovery(JournalReader replay) {
        this.replay = replay;
    }

    /**
     * The state of the recovered slots.
     *
     * @param slots the slots that were recovered
     * @param programs the programs in the slots
     * @param damagedSlots the slots with lost entries of unknown programs, with the reason
     * @param tallies the tokens that customers spent, for each journal that was read completely, by its host
     */
    record Result(
            List<Slot> slots,
            ProgramIndex programs,
            Map<Slot, String> damagedSlots,
            Map<String, CustomerTallies> tallies) {}

    /**
     * Rebuilds the programs of slots.
     *
     * @param claims the slots with the rows that this host wrote when it claimed them
     * @param callback receives the result once all snapshots and journals were read
     */
    void recover(List<Ownership.SlotRecord> claims, Consumer<Result> callback) {
        new Session(claims, callback).start();
    }

    private final class Session {
        private final List<Ownership.SlotRecord> claims;
        private final Consumer<Result> callback;
        private final Map<String, JournalReader.LoadedJournal> journals = new HashMap<>();
        private final Map<SnapshotPointer, JournalReader.SnapshotResult> handoverSnapshots = new HashMap<>();
        private final ProgramIndex programs = new ProgramIndex();
        private final Map<Slot, String> damagedSlots = new TreeMap<>();
        private int pendingReads;

        private Session(List<Ownership.SlotRecord> claims, Consumer<Result> callback) {
            this.claims = claims;
            this.callback = callback;
        }

        private void start() {
            List<Link> links = claims.stream()
                    .flatMap(claim -> claim.row().getChainList().stream())
                    .toList();
            Set<SnapshotPointer> pointers = links.stream()
                    .filter(Link::hasSnapshot)
                    .map(Link::getSnapshot)
                    .collect(Collectors.toSet());
            Map<String, Long> lastSeqByHost = links.stream()
                    .filter(link -> !link.hasSnapshot())
                    .collect(Collectors.toMap(Link::getHost, Link::getToSeq, Math::max));
            pendingReads = pointers.size() + lastSeqByHost.size();
            pointers.forEach(pointer -> replay.readSnapshot(pointer, read -> {
                handoverSnapshots.put(pointer, read);
                onReadCompleted();
            }));
            lastSeqByHost.forEach((host, toSeq) -> replay.readJournal(host, toSeq, journal -> {
                journals.put(host, journal);
                onReadCompleted();
            }));
        }

        private void onReadCompleted() {
            pendingReads--;
            if (pendingReads > 0) {
                return;
            }
            claims.forEach(claim -> claim.row().getChainList().forEach(link -> apply(claim.slot(), link)));
            Map<String, CustomerTallies> tallies = new HashMap<>();
            journals.forEach((host, journal) -> {
                if (journal.isComplete()) {
                    tallies.put(host, journal.tallies());
                }
            });
            List<Slot> slots = claims.stream().map(Ownership.SlotRecord::slot).toList();
            callback.accept(new Result(slots, programs, damagedSlots, tallies));
        }

        private void apply(Slot slot, Link link) {
            if (link.hasSnapshot()) {
                JournalReader.SnapshotResult read = handoverSnapshots.get(link.getSnapshot());
                markSlotDamaged(slot, read.damageReason());
                restore(slot, read.snapshot());
                return;
            }
            JournalReader.LoadedJournal journal = journals.get(link.getHost());
            Snapshot snapshot = journal.snapshot();
            boolean covered = snapshot.getSlotsList().stream()
                    .anyMatch(slotStart ->
                            slotStart.getSlot() == slot.number() && slotStart.getFromSeq() == link.getFromSeq());
            if (covered) {
                restore(slot, snapshot);
            }
            long fromSeq = Math.max(link.getFromSeq(), snapshot.getSeq() + 1);
            markSlotDamaged(slot, journal.damageReason(fromSeq, link.getToSeq()));
            journal.forEach(fromSeq, link.getToSeq(), (entry, ref) -> {
                ProgramId id = new ProgramId(entry.getProgram());
                if (id.slot().equals(slot)) {
                    apply(entry, id, ref);
                }
            });
            journal.damagedPrograms()
                    .forEach((program, reason) -> markProgramDamaged(slot, new ProgramId(program), reason));
        }

        private void markSlotDamaged(Slot slot, String reason) {
            if (!reason.isEmpty()) {
                damagedSlots.put(slot, reason);
            }
        }

        private void restore(Slot slot, Snapshot snapshot) {
            programs.removeSlot(slot);
            snapshot.getProgramsList().stream()
                    .map(Program::fromImage)
                    .filter(program -> program.id().slot().equals(slot))
                    .forEach(programs::put);
        }

        private void apply(Entry entry, ProgramId id, org.celerygw.core.gen.state.Ref ref) {
            programs.apply(entry);
            Program program = programs.find(id);
            if (program != null) {
                program.setContentRef(entry, ref);
            }
        }

        private void markProgramDamaged(Slot slot, ProgramId id, String reason) {
            if (!id.slot().equals(slot)) {
                return;
            }
            Program program = programs.find(id);
            if (program == null) {
                programs.put(Program.createDamaged(id, reason));
            } else {
                program.markDamaged(reason);
            }
        }
    }

    /** Returns the programs whose last call has no recorded outcome. */
    static List<Program> programsWithUnfinishedCall(ProgramIndex programs) {
        List<Program> found = new ArrayList<>(programs.all());
        found.removeIf(
                program -> program.lastCall() == null || program.lastCall().hasDone());
        return found;
    }
}
