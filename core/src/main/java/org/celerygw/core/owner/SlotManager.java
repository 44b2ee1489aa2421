package org.celerygw.core.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.celerygw.core.gen.state.Link;
import org.celerygw.core.gen.state.SlotRow;
import org.celerygw.core.gen.state.SnapshotPointer;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.Journal;
import org.celerygw.core.ownership.Ownership;
import org.celerygw.core.program.ProgramIndex;
import org.jspecify.annotations.Nullable;

/**
 * Manages the slots of this host: recovers claimed slots, writes their snapshots, and hands slots over that another
 * host should own.
 */
final class SlotManager {
    private static final int MAX_ROWS_PER_WRITE = 256;
    private static final long MIN_SNAPSHOT_INTERVAL_MS = 5_000;
    private static final long HANDOVER_CHECK_INTERVAL_MS = 200;
    private static final long HANDOVER_DELAY_MS = 1_500;

    /** A leaving slot whose programs always have open calls admits no new call after this time, so that it can move. */
    private static final long CLOSE_DELAY_MS = 10_000;

    private final HostId host;
    private final OwnerSettings settings;
    private final Ownership ownership;
    private final Recovery recovery;
    private final SnapshotWriter snapshots;
    private final Journal journal;
    private final Recorder recorder;
    private final CallManager calls;
    private final EffectQueue effects;
    private final Consumer<Recovery.Result> recoveryListener;
    private final Set<Slot> activeSlots = new HashSet<>();

    /** Slots whose programs are in memory: the active ones and those that are being handed over. */
    private final Set<Slot> loadedSlots = new HashSet<>();

    private final Map<Slot, Long> leavingSinceMs = new HashMap<>();
    private final Map<Slot, String> damageBySlot = new TreeMap<>();

    /** Recovered slots that no snapshot of this host's journal covers yet. */
    private final Set<Slot> slotsAwaitingSnapshot = new LinkedHashSet<>();

    /** Slots that a snapshot covers and whose rows still list the journals of earlier owners. */
    private final Set<Slot> slotsAwaitingChainRemoval = new HashSet<>();

    private @Nullable Runnable pendingReleaseRetry;
    private boolean draining;
    private boolean drained;
    private boolean snapshotInProgress;
    private boolean handoverInProgress;
    private long lastSnapshotMs = Long.MIN_VALUE / 2;
    private long nextHandoverCheckMs;
    private long nowMs;

    SlotManager(
            HostId host,
            OwnerSettings settings,
            Ownership ownership,
            Recovery recovery,
            SnapshotWriter snapshots,
            Journal journal,
            Recorder recorder,
            CallManager calls,
            EffectQueue effects,
            Consumer<Recovery.Result> recoveryListener) {
        this.host = host;
        this.settings = settings;
        this.ownership = ownership;
        this.recovery = recovery;
        this.snapshots = snapshots;
        this.journal = journal;
        this.recorder = recorder;
        this.calls = calls;
        this.effects = effects;
        this.recoveryListener = recoveryListener;
    }

    int activeCount() {
        return activeSlots.size();
    }

    boolean isDrained() {
        return drained;
    }

    boolean isActive(Slot slot) {
        return activeSlots.contains(slot);
    }

    /** Returns why the recovered state of a slot is incomplete; empty when it is complete. */
    String damage(Slot slot) {
        return damageBySlot.getOrDefault(slot, "");
    }

    /** Returns whether a slot admits no new call because it will be handed over once its open calls have ended. */
    boolean isClosing(Slot slot) {
        Long sinceMs = leavingSinceMs.get(slot);
        return sinceMs != null && nowMs - sinceMs >= CLOSE_DELAY_MS;
    }

    /** Activates claimed slots that no host has used yet at once, and recovers the others first. */
    void onClaimed(List<Ownership.SlotRecord> claims) {
        List<Ownership.SlotRecord> unused =
                claims.stream().filter(r -> r.row().getChainCount() == 0).toList();
        List<Ownership.SlotRecord> used =
                claims.stream().filter(r -> r.row().getChainCount() > 0).toList();
        unused.forEach(r -> activate(r.slot()));
        if (!used.isEmpty()) {
            recovery.recover(used, this::onRecovered);
        }
    }

    private void onRecovered(Recovery.Result result) {
        result.programs().all().forEach(recorder.programs()::put);
        damageBySlot.putAll(result.damagedSlots());
        result.damagedSlots()
                .forEach((slot, reason) ->
                        effects.log("damage: recovered state is incomplete in slot " + slot.number() + ": " + reason));
        result.slots().forEach(this::activate);
        slotsAwaitingSnapshot.addAll(result.slots());
        slotsAwaitingSnapshot.removeAll(result.damagedSlots().keySet());
        effects.log("owner: recovered " + result.slots().size() + " slots with "
                + result.programs().size() + " programs");
        recoveryListener.accept(result);
    }

    private void activate(Slot slot) {
        activeSlots.add(slot);
        loadedSlots.add(slot);
    }

    /** Starts to hand over all slots; claims no further slot. */
    void drain() {
        draining = true;
        ownership.drain();
    }

    void tick(long timeMs) {
        nowMs = timeMs;
        snapshots.tick(timeMs);
        if (!draining) {
            writeSnapshotWhenDue();
            removeCoveredChains();
        }
        Runnable retry = pendingReleaseRetry;
        pendingReleaseRetry = null;
        if (retry != null) {
            retry.run();
        }
        if (nowMs < nextHandoverCheckMs) {
            return;
        }
        nextHandoverCheckMs = nowMs + HANDOVER_CHECK_INTERVAL_MS;
        startHandover();
        if (draining && !drained && ownership.owned().isEmpty() && ownership.hasNoPendingWrite()) {
            drained = true;
            recorder.afterAppended(() -> effects.emit(new Effect.Drained()));
        }
    }

    private void writeSnapshotWhenDue() {
        boolean enoughRecords = recorder.recordsSinceSnapshot() >= settings.snapshotIntervalRecords();
        boolean due = enoughRecords || !slotsAwaitingSnapshot.isEmpty();
        if (snapshotInProgress
                || !slotsAwaitingChainRemoval.isEmpty()
                || !due
                || nowMs - lastSnapshotMs < MIN_SNAPSHOT_INTERVAL_MS) {
            return;
        }
        snapshotInProgress = true;
        lastSnapshotMs = nowMs;
        recorder.snapshotStarted();
        List<Ownership.SlotRecord> covered = ownership.owned().stream()
                .filter(r -> loadedSlots.contains(r.slot()))
                .filter(r -> !damageBySlot.containsKey(r.slot()))
                .toList();
        List<Ownership.SlotRecord> awaiting = covered.stream()
                .filter(r -> slotsAwaitingSnapshot.contains(r.slot()))
                .toList();
        snapshots.write(
                covered,
                recorder.durableTallies(),
                pointer -> recorder.afterAppended(() -> {
                    // The snapshot may contain entries that were not durable when it was taken. They must be durable
                    // before the head of the journal refers to the snapshot.
                    journal.publishSnapshot(pointer, () -> onSnapshotReferenced(awaiting));
                }));
    }

    private void onSnapshotReferenced(List<Ownership.SlotRecord> awaiting) {
        snapshotInProgress = false;
        // A slot that was handed over and claimed again since the snapshot was taken has a higher epoch and another
        // chain, which the snapshot does not cover.
        Map<Slot, Long> epochs = awaiting.stream().collect(Collectors.toMap(Ownership.SlotRecord::slot, r -> r.row()
                .getEpoch()));
        List<Slot> unchanged = ownership.owned().stream()
                .filter(r -> Objects.equals(epochs.get(r.slot()), r.row().getEpoch()))
                .map(Ownership.SlotRecord::slot)
                .toList();
        slotsAwaitingChainRemoval.addAll(unchanged);
        unchanged.forEach(slotsAwaitingSnapshot::remove);
        effects.log("journal: snapshot written; last durable batch " + journal.lastDurableSeq());
    }

    /** Removes the chains from the rows of slots that a snapshot of this host's journal covers. */
    private void removeCoveredChains() {
        if (slotsAwaitingChainRemoval.isEmpty() || snapshotInProgress) {
            return;
        }
        List<Ownership.SlotRecord> rows = ownership.owned().stream()
                .filter(r ->
                        slotsAwaitingChainRemoval.contains(r.slot()) && r.row().getChainCount() > 0)
                .limit(MAX_ROWS_PER_WRITE)
                .map(r -> new Ownership.SlotRecord(
                        r.slot(), r.row().toBuilder().clearChain().build()))
                .toList();
        if (rows.isEmpty()) {
            slotsAwaitingChainRemoval.clear();
            return;
        }
        ownership.writeRows(rows, written -> written.forEach(r -> slotsAwaitingChainRemoval.remove(r.slot())));
    }

    private void startHandover() {
        if (ownership.isBalanced() && leavingSinceMs.isEmpty()) {
            return;
        }
        List<Ownership.SlotRecord> owned = ownership.owned();
        owned.forEach(r -> updateLeaving(r.slot()));
        if (handoverInProgress || leavingSinceMs.isEmpty()) {
            return;
        }
        Set<Slot> busy = calls.slotsWithOpenCalls();
        List<Ownership.SlotRecord> idle = owned.stream()
                .filter(r -> isDueForHandover(r.slot()) && activeSlots.contains(r.slot()))
                .filter(r -> !busy.contains(r.slot()))
                .limit(MAX_ROWS_PER_WRITE)
                .toList();
        if (idle.isEmpty()) {
            return;
        }
        handoverInProgress = true;
        idle.forEach(r -> activeSlots.remove(r.slot()));
        recorder.afterAppended(() -> snapshots.write(idle, List.of(), pointer -> release(idle, pointer)));
    }

    private void updateLeaving(Slot slot) {
        if (ownership.shouldMove(slot)) {
            leavingSinceMs.putIfAbsent(slot, nowMs);
        } else {
            leavingSinceMs.remove(slot);
        }
    }

    private boolean isDueForHandover(Slot slot) {
        Long sinceMs = leavingSinceMs.get(slot);
        return sinceMs != null && (draining || nowMs - sinceMs >= HANDOVER_DELAY_MS);
    }

    private void release(List<Ownership.SlotRecord> idle, SnapshotPointer pointer) {
        ProgramIndex programs = recorder.programs();
        List<Ownership.SlotRecord> rows = new ArrayList<>();
        idle.forEach(r -> {
            SlotRow.Builder row = SlotRow.newBuilder().setEpoch(r.row().getEpoch() + 1);
            if (damageBySlot.containsKey(r.slot())) {
                // This host added no entries to a damaged slot. The next owner replays the same chain and finds
                // the same damage, or data that was repaired since.
                row.addAllChain(r.row().getChainList());
            } else if (!programs.inSlot(r.slot()).isEmpty()) {
                row.addChain(Link.newBuilder()
                        .setHost(host.value())
                        .setFromSeq(r.row().getFromSeq())
                        .setToSeq(pointer.getSeq())
                        .setSnapshot(pointer));
            }
            rows.add(new Ownership.SlotRecord(r.slot(), row.build()));
        });
        if (!ownership.writeRows(rows, written -> onReleased(idle, written))) {
            pendingReleaseRetry = () -> release(idle, pointer);
        }
    }

    private void onReleased(List<Ownership.SlotRecord> idle, List<Ownership.SlotRecord> rows) {
        handoverInProgress = false;
        // Slots that were not released become active again; the next check retries them.
        idle.forEach(r -> activeSlots.add(r.slot()));
        rows.forEach(r -> activeSlots.remove(r.slot()));
        rows.forEach(r -> {
            recorder.programs().removeSlot(r.slot());
            loadedSlots.remove(r.slot());
            leavingSinceMs.remove(r.slot());
            damageBySlot.remove(r.slot());
            slotsAwaitingSnapshot.remove(r.slot());
            slotsAwaitingChainRemoval.remove(r.slot());
        });
        effects.log("owner: handed over " + rows.size() + " slots");
    }
}
