package org.celerygw.core.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.celerygw.core.budget.Tallies;
import org.celerygw.core.gen.state.Entry;
import org.celerygw.core.gen.state.Link;
import org.celerygw.core.gen.state.Snapshot;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.Replay;
import org.celerygw.core.ownership.Ownership;
import org.celerygw.core.program.Program;
import org.celerygw.core.program.Programs;

/** Rebuilds the programs of claimed slots from the snapshots and journals that their rows name. */
final class Recovery {
    private final Replay replay;

    Recovery(Replay replay) {
        this.replay = replay;
    }

    /**
     * What was rebuilt.
     *
     * @param slots the slots
     * @param programs their programs
     * @param damagedSlots slots of which a part is lost without telling whose, with the reason
     * @param tallies what customers spent through each journal that was read to its end
     */
    record Result(List<Slot> slots, Programs programs, Map<Slot, String> damagedSlots, Map<String, Tallies> tallies) {}

    /** Rebuilds the slots and gives the result once the store answered all that is needed. */
    void recover(List<Ownership.Claim> claims, Consumer<Result> done) {
        new Session(claims, done).begin();
    }

    private final class Session {
        private final List<Ownership.Claim> claims;
        private final Consumer<Result> done;
        private final Map<String, Replay.Source> sources = new HashMap<>();
        private final Map<SnapshotPointer, Replay.Read> handovers = new HashMap<>();
        private final Programs programs = new Programs();
        private final Map<Slot, String> damagedSlots = new TreeMap<>();
        private int waiting;

        private Session(List<Ownership.Claim> claims, Consumer<Result> done) {
            this.claims = claims;
            this.done = done;
        }

        private void begin() {
            List<Link> links = claims.stream()
                    .flatMap(c -> c.row().getChainList().stream())
                    .toList();
            Set<SnapshotPointer> pointers = links.stream()
                    .filter(Link::hasSnapshot)
                    .map(Link::getSnapshot)
                    .collect(Collectors.toSet());
            Map<String, Long> journals = links.stream()
                    .filter(link -> !link.hasSnapshot())
                    .collect(Collectors.toMap(Link::getHost, Link::getToSeq, Math::max));
            waiting = pointers.size() + journals.size();
            pointers.forEach(p -> replay.snapshot(p, read -> {
                handovers.put(p, read);
                arrived();
            }));
            journals.forEach((host, toSeq) -> replay.load(host, toSeq, source -> {
                sources.put(host, source);
                arrived();
            }));
        }

        private void arrived() {
            waiting--;
            if (waiting > 0) {
                return;
            }
            claims.forEach(c -> c.row().getChainList().forEach(link -> apply(c.slot(), link)));
            Map<String, Tallies> tallies = new HashMap<>();
            sources.forEach((host, source) -> {
                if (source.isComplete()) {
                    tallies.put(host, source.tallies());
                }
            });
            List<Slot> slots = claims.stream().map(Ownership.Claim::slot).toList();
            done.accept(new Result(slots, programs, damagedSlots, tallies));
        }

        private void apply(Slot slot, Link link) {
            if (link.hasSnapshot()) {
                Replay.Read read = handovers.get(link.getSnapshot());
                noteDamage(slot, read.damage());
                restore(slot, read.snapshot());
                return;
            }
            Replay.Source source = sources.get(link.getHost());
            Snapshot snapshot = source.snapshot();
            boolean covered = snapshot.getSlotsList().stream()
                    .anyMatch(s -> s.getSlot() == slot.number() && s.getFromSeq() == link.getFromSeq());
            if (covered) {
                restore(slot, snapshot);
            }
            long fromSeq = Math.max(link.getFromSeq(), snapshot.getSeq() + 1);
            noteDamage(slot, source.damage(fromSeq, link.getToSeq()));
            source.forEach(fromSeq, link.getToSeq(), (entry, ref) -> {
                ProgramId id = new ProgramId(entry.getProgram());
                if (id.slot().equals(slot)) {
                    apply(entry, id, ref);
                }
            });
            source.damagedPrograms().forEach((name, reason) -> damage(slot, new ProgramId(name), reason));
        }

        private void noteDamage(Slot slot, String reason) {
            if (!reason.isEmpty()) {
                damagedSlots.put(slot, reason);
            }
        }

        private void restore(Slot slot, Snapshot snapshot) {
            programs.drop(slot);
            snapshot.getProgramsList().stream()
                    .map(Program::of)
                    .filter(p -> p.id().slot().equals(slot))
                    .forEach(programs::put);
        }

        private void apply(Entry entry, ProgramId id, org.celerygw.core.gen.state.Ref ref) {
            programs.apply(entry);
            Program p = programs.find(id);
            if (p != null) {
                p.locate(entry, ref);
            }
        }

        private void damage(Slot slot, ProgramId id, String reason) {
            if (!id.slot().equals(slot)) {
                return;
            }
            Program p = programs.find(id);
            if (p == null) {
                programs.put(Program.lost(id, reason));
            } else {
                p.damage(reason);
            }
        }
    }

    /** Returns the programs whose last call has no recorded outcome. */
    static List<Program> inDoubt(Programs programs) {
        List<Program> found = new ArrayList<>(programs.all());
        found.removeIf(p -> p.lastCall() == null || p.lastCall().hasDone());
        return found;
    }
}
