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
import org.celerygw.core.program.Programs;
import org.jspecify.annotations.Nullable;

/** Takes claimed slots into service, keeps their snapshots, and hands them over. */
final class Slots {
    private static final int MOVE_ROWS = 256;
    private static final long SNAPSHOT_MS = 5_000;
    private static final long MOVE_MS = 200;
    private static final long MOVE_DELAY_MS = 1_500;
    private static final long MOVE_PATIENCE_MS = 10_000;

    private final HostId host;
    private final OwnerSettings settings;
    private final Ownership ownership;
    private final Recovery recovery;
    private final Snapshots snapshots;
    private final Journal journal;
    private final Recorder recorder;
    private final Calls calls;
    private final Io io;
    private final Consumer<Recovery.Result> recovered;
    private final Set<Slot> active = new HashSet<>();
    private final Set<Slot> held = new HashSet<>();
    private final Map<Slot, Long> leavingSinceMs = new HashMap<>();
    private final Map<Slot, String> damaged = new TreeMap<>();
    private final Set<Slot> toAdopt = new LinkedHashSet<>();
    private final Set<Slot> adopting = new HashSet<>();
    private @Nullable Runnable retryRelease;
    private boolean draining;
    private boolean drained;
    private boolean snapshotting;
    private boolean moving;
    private long snapshotAtMs = Long.MIN_VALUE / 2;
    private long moveAtMs;
    private long nowMs;

    Slots(
            HostId host,
            OwnerSettings settings,
            Ownership ownership,
            Recovery recovery,
            Snapshots snapshots,
            Journal journal,
            Recorder recorder,
            Calls calls,
            Io io,
            Consumer<Recovery.Result> recovered) {
        this.host = host;
        this.settings = settings;
        this.ownership = ownership;
        this.recovery = recovery;
        this.snapshots = snapshots;
        this.journal = journal;
        this.recorder = recorder;
        this.calls = calls;
        this.io = io;
        this.recovered = recovered;
    }

    int activeCount() {
        return active.size();
    }

    boolean isDrained() {
        return drained;
    }

    boolean isActive(Slot slot) {
        return active.contains(slot);
    }

    /** Returns why a slot's record can't be trusted; empty when it can. */
    String damage(Slot slot) {
        return damaged.getOrDefault(slot, "");
    }

    /** Returns whether a slot takes no new call because it waits for calls under way before it moves. */
    boolean isClosing(Slot slot) {
        Long sinceMs = leavingSinceMs.get(slot);
        return sinceMs != null && nowMs - sinceMs >= MOVE_PATIENCE_MS;
    }

    void claimed(List<Ownership.Claim> claims) {
        List<Ownership.Claim> fresh =
                claims.stream().filter(c -> c.row().getChainCount() == 0).toList();
        List<Ownership.Claim> used =
                claims.stream().filter(c -> c.row().getChainCount() > 0).toList();
        fresh.forEach(c -> activate(c.slot()));
        if (!used.isEmpty()) {
            recovery.recover(used, this::restored);
        }
    }

    private void restored(Recovery.Result result) {
        result.programs().all().forEach(recorder.programs()::put);
        damaged.putAll(result.damagedSlots());
        result.damagedSlots().forEach((slot, why) -> io.log("damage: slot " + slot.number() + ": " + why));
        result.slots().forEach(this::activate);
        toAdopt.addAll(result.slots());
        toAdopt.removeAll(result.damagedSlots().keySet());
        io.log("owner: recovered " + result.slots().size() + " slots with "
                + result.programs().size() + " programs");
        recovered.accept(result);
    }

    private void activate(Slot slot) {
        active.add(slot);
        held.add(slot);
    }

    void drain() {
        draining = true;
        ownership.drain();
    }

    void tick(long atMs) {
        nowMs = atMs;
        snapshots.tick(atMs);
        if (!draining) {
            snapshot();
            adopt();
        }
        Runnable release = retryRelease;
        retryRelease = null;
        if (release != null) {
            release.run();
        }
        if (nowMs < moveAtMs) {
            return;
        }
        moveAtMs = nowMs + MOVE_MS;
        move();
        if (draining && !drained && ownership.owned().isEmpty() && ownership.isIdle()) {
            drained = true;
            recorder.afterAppended(() -> io.emit(new Effect.Drained()));
        }
    }

    private void snapshot() {
        boolean full = recorder.sinceSnapshot() >= settings.snapshotRecords();
        boolean due = full || !toAdopt.isEmpty();
        if (snapshotting || !adopting.isEmpty() || !due || nowMs - snapshotAtMs < SNAPSHOT_MS) {
            return;
        }
        snapshotting = true;
        snapshotAtMs = nowMs;
        recorder.snapshotBegun();
        List<Ownership.Claim> covered = ownership.owned().stream()
                .filter(c -> held.contains(c.slot()))
                .filter(c -> !damaged.containsKey(c.slot()))
                .toList();
        List<Ownership.Claim> adopted =
                covered.stream().filter(c -> toAdopt.contains(c.slot())).toList();
        snapshots.write(
                covered,
                recorder.durableTallies(),
                pointer -> recorder.afterAppended(() -> {
                    // The image may hold entries that were under way; they are durable before the head names it.
                    journal.pointTo(pointer, () -> pointed(adopted));
                }));
    }

    private void pointed(List<Ownership.Claim> adopted) {
        snapshotting = false;
        // A slot that was handed over and claimed again meanwhile has another chain, which this snapshot does not hold.
        Map<Slot, Long> epochs = adopted.stream()
                .collect(Collectors.toMap(Ownership.Claim::slot, c -> c.row().getEpoch()));
        List<Slot> unchanged = ownership.owned().stream()
                .filter(c -> Objects.equals(epochs.get(c.slot()), c.row().getEpoch()))
                .map(Ownership.Claim::slot)
                .toList();
        adopting.addAll(unchanged);
        unchanged.forEach(toAdopt::remove);
        io.log("journal: snapshot up to batch " + journal.seq());
    }

    /** Drops the chains of slots that a snapshot of this journal covers. */
    private void adopt() {
        if (adopting.isEmpty() || snapshotting) {
            return;
        }
        List<Ownership.Claim> rows = ownership.owned().stream()
                .filter(c -> adopting.contains(c.slot()) && c.row().getChainCount() > 0)
                .limit(MOVE_ROWS)
                .map(c -> new Ownership.Claim(
                        c.slot(), c.row().toBuilder().clearChain().build()))
                .toList();
        if (rows.isEmpty()) {
            adopting.clear();
            return;
        }
        ownership.rewrite(rows, landed -> landed.forEach(c -> adopting.remove(c.slot())));
    }

    private void move() {
        if (ownership.settled() && leavingSinceMs.isEmpty()) {
            return;
        }
        List<Ownership.Claim> owned = ownership.owned();
        owned.forEach(c -> note(c.slot()));
        if (moving || leavingSinceMs.isEmpty()) {
            return;
        }
        Set<Slot> busy = calls.busySlots();
        List<Ownership.Claim> quiet = owned.stream()
                .filter(c -> isRipe(c.slot()) && active.contains(c.slot()))
                .filter(c -> !busy.contains(c.slot()))
                .limit(MOVE_ROWS)
                .toList();
        if (quiet.isEmpty()) {
            return;
        }
        moving = true;
        quiet.forEach(c -> active.remove(c.slot()));
        recorder.afterAppended(() -> snapshots.write(quiet, List.of(), pointer -> release(quiet, pointer)));
    }

    private void note(Slot slot) {
        if (ownership.shouldMove(slot)) {
            leavingSinceMs.putIfAbsent(slot, nowMs);
        } else {
            leavingSinceMs.remove(slot);
        }
    }

    private boolean isRipe(Slot slot) {
        Long sinceMs = leavingSinceMs.get(slot);
        return sinceMs != null && (draining || nowMs - sinceMs >= MOVE_DELAY_MS);
    }

    private void release(List<Ownership.Claim> quiet, SnapshotPointer pointer) {
        Programs programs = recorder.programs();
        List<Ownership.Claim> rows = new ArrayList<>();
        quiet.forEach(c -> {
            SlotRow.Builder row = SlotRow.newBuilder().setEpoch(c.row().getEpoch() + 1);
            if (damaged.containsKey(c.slot())) {
                // Nothing was added to it here; who owns it next finds the same, or what was repaired.
                row.addAllChain(c.row().getChainList());
            } else if (!programs.in(c.slot()).isEmpty()) {
                row.addChain(Link.newBuilder()
                        .setHost(host.value())
                        .setFromSeq(c.row().getFromSeq())
                        .setToSeq(pointer.getSeq())
                        .setSnapshot(pointer));
            }
            rows.add(new Ownership.Claim(c.slot(), row.build()));
        });
        if (!ownership.rewrite(rows, landed -> released(quiet, landed))) {
            retryRelease = () -> release(quiet, pointer);
        }
    }

    private void released(List<Ownership.Claim> quiet, List<Ownership.Claim> rows) {
        moving = false;
        // What was not released is served on and tried again.
        quiet.forEach(c -> active.add(c.slot()));
        rows.forEach(c -> active.remove(c.slot()));
        rows.forEach(c -> {
            recorder.programs().drop(c.slot());
            held.remove(c.slot());
            leavingSinceMs.remove(c.slot());
            damaged.remove(c.slot());
            toAdopt.remove(c.slot());
            adopting.remove(c.slot());
        });
        io.log("owner: handed over " + rows.size() + " slots");
    }
}
