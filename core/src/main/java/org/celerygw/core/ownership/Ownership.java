package org.celerygw.core.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.celerygw.core.gen.state.Head;
import org.celerygw.core.gen.state.Link;
import org.celerygw.core.gen.state.SlotRow;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.journal.RowKeys;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.jspecify.annotations.Nullable;

/** Claims and releases slots by conditional writes, and seals the journals of hosts whose lease has expired. */
public final class Ownership {
    private static final List<Slot> ALL_SLOTS =
            IntStream.range(0, Slot.COUNT).mapToObj(Slot::new).toList();
    private static final int MAX_ROWS_PER_CLAIM = 256;
    private static final int SCAN_PAGE_ROWS = 1024;
    private static final int MAX_ROWS_PER_POLL = 512;
    private static final long POLL_INTERVAL_MS = 250;
    private static final long SLOT_SCAN_INTERVAL_MS = 10_000;
    private static final long WRITE_RETRY_MS = 100;

    private final HostId host;
    private final Table table;
    private final long headScanIntervalMs;
    private final LongSupplier nextSeq;
    private final Consumer<List<SlotRecord>> claimListener;
    private final Consumer<String> log;
    private final Leases leases;

    /** The latest known row of each slot; null for a slot that no host has claimed yet. */
    private final VersionedRow[] knownRows = new VersionedRow[Slot.COUNT];

    /** The slots assigned to this host that it does not own; null when it must be computed anew. */
    private @Nullable List<Slot> unclaimedSlots;

    /** Whether this host owns only slots that are assigned to it; null when it must be computed anew. */
    private @Nullable Boolean balanced;

    private final Map<Slot, SlotRow> ownedRows = new TreeMap<>();
    private final Set<Slot> slotsToRefresh = new TreeSet<>();
    private SortedSet<HostId> liveHosts = new TreeSet<>();

    /** The live hosts whose journals are not sealed. */
    private Set<HostId> eligibleHosts = Set.of();

    /** The host that should own each slot; null before any host is eligible. */
    private final HostId[] assignedOwners = new HostId[Slot.COUNT];

    private boolean slotsLoaded;
    private boolean scanningSlots;
    private boolean scanningHeads;
    private boolean writeInFlight;
    private boolean pollInFlight;
    private boolean draining;
    private long lastHeadScanMs = Long.MIN_VALUE / 2;
    private long lastSlotScanMs = Long.MIN_VALUE / 2;
    private long lastPollMs = Long.MIN_VALUE / 2;
    private long nextWriteAttemptMs;
    private long nowMs;
    private @Nullable PendingWrite pendingWrite;

    /**
     * Creates the ownership of a host that owns no slots yet.
     *
     * @param host this host, under the id of its current process
     * @param table the table with the slot rows and the journal heads
     * @param leaseSettings the duration of leases and how often they are checked
     * @param nextSeq returns the number of the first batch in this host's journal that can still receive entries
     * @param claimListener called with slots that this host has claimed and whose state it must recover
     * @param log receives a line for the log about each claim, seal and write conflict
     */
    public Ownership(
            HostId host,
            Table table,
            LeaseSettings leaseSettings,
            LongSupplier nextSeq,
            Consumer<List<SlotRecord>> claimListener,
            Consumer<String> log) {
        this.host = host;
        this.table = table;
        this.headScanIntervalMs = leaseSettings.heartbeatMs();
        this.nextSeq = nextSeq;
        this.claimListener = claimListener;
        this.log = log;
        this.leases = new Leases(leaseSettings.leaseMs());
    }

    /**
     * The timing of leases.
     *
     * @param leaseMs how long a head may stay unchanged before its host is taken for dead
     * @param heartbeatMs the interval at which the heads are read
     */
    public record LeaseSettings(long leaseMs, long heartbeatMs) {}

    /**
     * A slot with a row that this host wrote or is going to write.
     *
     * @param slot the slot
     * @param row the row; it has no owner if the write releases the slot
     */
    public record SlotRecord(Slot slot, SlotRow row) {}

    private record VersionedRow(long version, SlotRow row) {}

    private record PendingWrite(Txn txn, List<SlotRecord> rows, Consumer<List<SlotRecord>> callback) {}

    /**
     * Sets the hosts among which slots are divided; takes effect at the next tick.
     *
     * @param hosts the hosts that may own slots, by the current membership
     */
    public void updateHosts(SortedSet<HostId> hosts) {
        liveHosts = new TreeSet<>(hosts);
    }

    /** Stops claiming slots and makes every owned slot due for a move. */
    public void drain() {
        draining = true;
        balanced = null;
    }

    /**
     * Reads the row of a slot again soon. To be called when a request reaches this host for a slot that it does not
     * own, because the known row may be outdated.
     *
     * @param slot the slot
     */
    public void refreshSoon(Slot slot) {
        if (!ownedRows.containsKey(slot)) {
            slotsToRefresh.add(slot);
        }
    }

    /**
     * Starts the reads and writes that are due.
     *
     * @param timeMs the current time, in milliseconds since 1970
     */
    public void tick(long timeMs) {
        nowMs = timeMs;
        scanHeads();
        scanSlots();
        leases.expired(nowMs).stream()
                .filter(observed -> !observed.host().equals(host))
                .forEach(this::seal);
        assignSlots();
        if (pendingWrite == null && slotsLoaded && !draining) {
            claim();
        }
        sendWriteWhenDue();
        pollRows();
    }

    private void assignSlots() {
        Set<HostId> current = new TreeSet<>(liveHosts);
        current.removeAll(leases.sealedHosts());
        if (current.equals(eligibleHosts)) {
            return;
        }
        eligibleHosts = current;
        Rendezvous rendezvous = new Rendezvous(current);
        ALL_SLOTS.forEach(
                slot -> assignedOwners[slot.number()] = rendezvous.ownerOf(slot).orElse(host));
        unclaimedSlots = null;
        balanced = null;
    }

    /** Returns the slots that are assigned to this host and that it does not own. */
    private List<Slot> unclaimedSlots() {
        List<Slot> cached = unclaimedSlots;
        if (cached == null) {
            cached = ALL_SLOTS.stream().filter(this::isUnclaimed).toList();
            unclaimedSlots = cached;
        }
        return cached;
    }

    private void scanHeads() {
        if (scanningHeads || nowMs - lastHeadScanMs < headScanIntervalMs) {
            return;
        }
        scanningHeads = true;
        lastHeadScanMs = nowMs;
        scanHeads("");
    }

    private void scanHeads(String after) {
        table.scan(RowKeys.HEAD_PREFIX, after, SCAN_PAGE_ROWS, answer -> {
            scanningHeads = false;
            if (!answer.ok()) {
                leases.restart(nowMs);
                return;
            }
            leases.observe(answer.rows(), nowMs);
            if (answer.rows().size() == SCAN_PAGE_ROWS) {
                scanningHeads = true;
                scanHeads(answer.rows().get(SCAN_PAGE_ROWS - 1).key());
            }
        });
    }

    private void scanSlots() {
        if (scanningSlots || (slotsLoaded && nowMs - lastSlotScanMs < SLOT_SCAN_INTERVAL_MS)) {
            return;
        }
        scanningSlots = true;
        lastSlotScanMs = nowMs;
        scanSlots("");
    }

    private void scanSlots(String after) {
        table.scan(RowKeys.SLOT_PREFIX, after, SCAN_PAGE_ROWS, answer -> {
            scanningSlots = false;
            if (!answer.ok()) {
                return;
            }
            answer.rows().forEach(this::updateKnownRow);
            if (answer.rows().size() < SCAN_PAGE_ROWS) {
                slotsLoaded = true;
                return;
            }
            scanningSlots = true;
            scanSlots(answer.rows().get(SCAN_PAGE_ROWS - 1).key());
        });
    }

    private void updateKnownRow(Row row) {
        int number = Integer.parseInt(row.key().substring(RowKeys.SLOT_PREFIX.length()));
        VersionedRow previous = knownRows[number];
        if (previous == null || row.version() > previous.version()) {
            knownRows[number] = new VersionedRow(row.version(), parse(row));
        }
    }

    private static SlotRow parse(Row row) {
        try {
            return SlotRow.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("row " + row.key() + " can't be parsed as a slot row", e);
        }
    }

    private void seal(Leases.ObservedHead observed) {
        Head head = observed.head().toBuilder().setSealedBy(host.value()).build();
        String key = RowKeys.head(observed.host());
        Txn txn = new Txn(
                List.of(new Txn.Condition(key, observed.version())), List.of(Txn.Change.put(key, head.toByteString())));
        leases.restart(observed, nowMs);
        table.write(txn, result -> onSealCompleted(observed, head, result));
    }

    private void onSealCompleted(Leases.ObservedHead observed, Head head, TxnResult result) {
        switch (result.status()) {
            case COMMITTED -> {
                log.accept("lease: expired; sealed the journal of " + observed.host() + " at batch " + head.getSeq());
                leases.recordSeal(observed, head, nowMs);
            }
            case CONFLICT -> leases.observe(result.currentRows(), nowMs);
            case UNKNOWN -> {
                // The next scan of the heads shows whether the seal was written.
            }
        }
    }

    private VersionedRow knownRow(Slot slot) {
        VersionedRow row = knownRows[slot.number()];
        return row == null ? new VersionedRow(0, SlotRow.getDefaultInstance()) : row;
    }

    private boolean isUnclaimed(Slot slot) {
        return host.equals(assignedOwners[slot.number()]) && !ownedRows.containsKey(slot);
    }

    private boolean isClaimable(Slot slot) {
        String owner = knownRow(slot).row().getOwner();
        return owner.isEmpty() || leases.sealedHead(owner).isPresent();
    }

    private void claim() {
        List<SlotRecord> claims = unclaimedSlots().stream()
                .filter(this::isClaimable)
                .limit(MAX_ROWS_PER_CLAIM)
                .map(slot -> new SlotRecord(slot, claimRow(knownRow(slot).row())))
                .toList();
        if (!claims.isEmpty()) {
            write(claims, this::onClaimed);
        }
    }

    private SlotRow claimRow(SlotRow previous) {
        SlotRow.Builder row = SlotRow.newBuilder()
                .setOwner(host.value())
                .setEpoch(previous.getEpoch() + 1)
                .setFromSeq(nextSeq.getAsLong())
                .addAllChain(previous.getChainList());
        leases.sealedHead(previous.getOwner())
                .filter(observed ->
                        observed.head().hasSnapshot() || observed.head().getSeq() >= previous.getFromSeq())
                .ifPresent(observed -> row.addChain(Link.newBuilder()
                        .setHost(previous.getOwner())
                        .setFromSeq(previous.getFromSeq())
                        .setToSeq(observed.head().getSeq())));
        return row.build();
    }

    private void onClaimed(List<SlotRecord> claims) {
        if (claims.isEmpty()) {
            return;
        }
        claims.forEach(r -> ownedRows.put(r.slot(), r.row()));
        unclaimedSlots = null;
        balanced = null;
        log.accept("owner: claimed " + claims.size() + " slots");
        claimListener.accept(claims);
    }

    private void write(List<SlotRecord> rows, Consumer<List<SlotRecord>> callback) {
        List<Txn.Condition> conditions = new ArrayList<>();
        List<Txn.Change> changes = new ArrayList<>();
        for (SlotRecord row : rows) {
            String key = RowKeys.slot(row.slot());
            conditions.add(new Txn.Condition(key, knownRow(row.slot()).version()));
            changes.add(Txn.Change.put(key, row.row().toByteString()));
        }
        pendingWrite = new PendingWrite(new Txn(conditions, changes), rows, callback);
        nextWriteAttemptMs = nowMs;
    }

    private void sendWriteWhenDue() {
        PendingWrite pending = pendingWrite;
        if (pending == null || writeInFlight || nowMs < nextWriteAttemptMs) {
            return;
        }
        writeInFlight = true;
        nextWriteAttemptMs = nowMs + WRITE_RETRY_MS;
        table.write(pending.txn(), result -> onWriteCompleted(pending, result));
    }

    private void onWriteCompleted(PendingWrite pending, TxnResult result) {
        writeInFlight = false;
        if (result.status() == TxnResult.Status.UNKNOWN) {
            // The identical write is repeated until its effect is known; its conditions let it commit only once.
            return;
        }
        pendingWrite = null;
        if (result.status() == TxnResult.Status.COMMITTED) {
            for (int i = 0; i < pending.rows().size(); i++) {
                updateFromWrite(
                        pending.txn().conditions().get(i),
                        pending.txn().changes().get(i));
            }
            pending.callback().accept(pending.rows());
            return;
        }
        result.currentRows().stream().filter(Row::exists).forEach(this::updateKnownRow);
        List<SlotRecord> written =
                pending.rows().stream().filter(this::isWritten).toList();
        log.accept("owner: " + written.size() + " of " + pending.rows().size()
                + " slot rows were found written after a write conflict");
        pending.callback().accept(written);
    }

    /** Updates a known row after a write, unless a poll has already read that version or a later one. */
    private void updateFromWrite(Txn.Condition condition, Txn.Change change) {
        updateKnownRow(new Row(condition.key(), condition.version() + 1, change.value()));
    }

    /**
     * Returns whether a row was written although the store reported a conflict: an earlier try whose result was lost
     * may have committed. A slot released by it may have been claimed by another host since, which shows as a higher
     * epoch.
     */
    private boolean isWritten(SlotRecord intended) {
        SlotRow current = knownRow(intended.slot()).row();
        boolean claimedSince = intended.row().getOwner().isEmpty()
                && current.getEpoch() > intended.row().getEpoch();
        return claimedSince || current.equals(intended.row());
    }

    private void pollRows() {
        if (pollInFlight || !slotsLoaded || nowMs - lastPollMs < POLL_INTERVAL_MS) {
            return;
        }
        Stream<Slot> waiting =
                draining ? Stream.empty() : unclaimedSlots().stream().filter(slot -> !isClaimable(slot));
        List<String> keys = Stream.concat(slotsToRefresh.stream(), waiting)
                .distinct()
                .limit(MAX_ROWS_PER_POLL)
                .map(RowKeys::slot)
                .toList();
        slotsToRefresh.clear();
        if (keys.isEmpty()) {
            return;
        }
        pollInFlight = true;
        lastPollMs = nowMs;
        table.read(keys, answer -> {
            pollInFlight = false;
            answer.rows().stream().filter(Row::exists).forEach(this::updateKnownRow);
        });
    }

    /**
     * Replaces the rows of slots that this host owns.
     *
     * @param rows the slots with their new rows; a row without an owner releases its slot
     * @param callback called with the rows that were written
     * @return false if nothing was done because another write is pending; the caller must try again
     */
    public boolean writeRows(List<SlotRecord> rows, Consumer<List<SlotRecord>> callback) {
        if (pendingWrite != null) {
            return false;
        }
        List<SlotRecord> stillOwned =
                rows.stream().filter(r -> isStillOwned(r.slot())).toList();
        if (stillOwned.isEmpty()) {
            callback.accept(List.of());
            return true;
        }
        write(stillOwned, written -> {
            written.forEach(this::applyOwnRow);
            callback.accept(written);
        });
        return true;
    }

    /**
     * Returns whether the known row of a slot still names this host. It may not: another host may have sealed this
     * host's journal and claimed the slot before this host has noticed.
     */
    private boolean isStillOwned(Slot slot) {
        SlotRow owned = ownedRows.get(slot);
        SlotRow current = knownRow(slot).row();
        return owned != null && current.getOwner().equals(host.value()) && current.getEpoch() == owned.getEpoch();
    }

    private void applyOwnRow(SlotRecord record) {
        if (record.row().getOwner().equals(host.value())) {
            ownedRows.put(record.slot(), record.row());
        } else {
            ownedRows.remove(record.slot());
            unclaimedSlots = null;
            balanced = null;
        }
    }

    /**
     * Returns the slots that this host owns, with their rows.
     *
     * @return the slots in ascending order
     */
    public List<SlotRecord> owned() {
        return ownedRows.entrySet().stream()
                .map(e -> new SlotRecord(e.getKey(), e.getValue()))
                .toList();
    }

    /**
     * Returns whether this host owns only slots that are assigned to it.
     *
     * @return true when no slot has to be handed over
     */
    public boolean isBalanced() {
        Boolean cached = balanced;
        if (cached == null) {
            cached = ownedRows.keySet().stream().noneMatch(this::shouldMove);
            balanced = cached;
        }
        return cached;
    }

    /**
     * Returns whether no write of slot rows is pending.
     *
     * @return true when the rows in the table are those that {@link #owned} returns
     */
    public boolean hasNoPendingWrite() {
        return pendingWrite == null;
    }

    /**
     * Returns whether a slot of this host should be handed over.
     *
     * @param slot the slot
     * @return true when the slot is assigned to another host or this host is draining
     */
    public boolean shouldMove(Slot slot) {
        return draining || !host.equals(assignedOwners[slot.number()]);
    }

    /**
     * Returns the host that owns a slot as far as this host knows.
     *
     * @param slot the slot
     * @return the owner in the latest known row, or the host that the slot is assigned to if that owner is missing or
     *     its journal is sealed; empty before hosts are known
     */
    public Optional<HostId> ownerOf(Slot slot) {
        if (ownedRows.containsKey(slot)) {
            return Optional.of(host);
        }
        String owner = knownRow(slot).row().getOwner();
        if (!owner.isEmpty() && leases.sealedHead(owner).isEmpty()) {
            return Optional.of(new HostId(owner));
        }
        return Optional.ofNullable(assignedOwners[slot.number()]);
    }
}
