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
import org.celerygw.core.journal.Keys;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.jspecify.annotations.Nullable;

/** Claims and releases slots by conditional writes, and seals the journals of hosts whose lease lapsed. */
public final class Ownership {
    private static final List<Slot> ALL =
            IntStream.range(0, Slot.COUNT).mapToObj(Slot::new).toList();
    private static final int CLAIM_ROWS = 256;
    private static final int SCAN_ROWS = 1024;
    private static final int POLL_ROWS = 512;
    private static final long POLL_MS = 250;
    private static final long REFRESH_MS = 10_000;
    private static final long RETRY_MS = 100;

    private final HostId host;
    private final Table table;
    private final long heartbeatMs;
    private final LongSupplier nextSeq;
    private final Consumer<List<Claim>> claimed;
    private final Consumer<String> log;
    private final Leases leases;
    private final Known[] known = new Known[Slot.COUNT];
    private @Nullable List<Slot> lacking;
    private @Nullable Boolean settled;
    private final Map<Slot, SlotRow> mine = new TreeMap<>();
    private final Set<Slot> missed = new TreeSet<>();
    private SortedSet<HostId> hosts = new TreeSet<>();
    private Set<HostId> candidates = Set.of();
    private final HostId[] wanted = new HostId[Slot.COUNT];
    private boolean slotsRead;
    private boolean scanningSlots;
    private boolean scanningHeads;
    private boolean writing;
    private boolean polling;
    private boolean draining;
    private long headsAtMs = Long.MIN_VALUE / 2;
    private long slotsAtMs = Long.MIN_VALUE / 2;
    private long pollAtMs = Long.MIN_VALUE / 2;
    private long writeAtMs;
    private long nowMs;
    private @Nullable Write write;

    /**
     * Makes an ownership that owns nothing.
     *
     * @param host this incarnation
     * @param table where the rows are
     * @param lease how long leases last and how often they are looked at
     * @param nextSeq gives the first batch of this host's journal that can still take an entry
     * @param claimed told of slots that this host owns from now on and must replay
     * @param log takes a line for each decision
     */
    public Ownership(
            HostId host,
            Table table,
            Lease lease,
            LongSupplier nextSeq,
            Consumer<List<Claim>> claimed,
            Consumer<String> log) {
        this.host = host;
        this.table = table;
        this.heartbeatMs = lease.heartbeatMs();
        this.nextSeq = nextSeq;
        this.claimed = claimed;
        this.log = log;
        this.leases = new Leases(lease.leaseMs());
    }

    /**
     * The pace of leases.
     *
     * @param leaseMs a head unchanged for so long marks its host as dead
     * @param heartbeatMs how often the heads are read
     */
    public record Lease(long leaseMs, long heartbeatMs) {}

    /**
     * A slot that this host owns.
     *
     * @param slot the slot
     * @param row its row as this host wrote it
     */
    public record Claim(Slot slot, SlotRow row) {}

    private record Known(long version, SlotRow row) {}

    private record Write(Txn txn, List<Claim> rows, Consumer<List<Claim>> done) {}

    /**
     * Takes the hosts that membership sees now.
     *
     * @param live the hosts that may own slots
     */
    public void hostsSeen(SortedSet<HostId> live) {
        hosts = new TreeSet<>(live);
    }

    /** Takes no further slot from now on. */
    public void drain() {
        draining = true;
        settled = null;
    }

    /**
     * Has the row of a slot read soon, because a caller asked for it here.
     *
     * @param slot the slot
     */
    public void miss(Slot slot) {
        if (!mine.containsKey(slot)) {
            missed.add(slot);
        }
    }

    /**
     * Reads and writes what is due.
     *
     * @param atMs the time now
     */
    public void tick(long atMs) {
        nowMs = atMs;
        scanHeads();
        scanSlots();
        leases.lapsed(nowMs).stream().filter(s -> !s.host().equals(host)).forEach(this::seal);
        choose();
        if (write == null && slotsRead && !draining) {
            claim();
        }
        push();
        poll();
    }

    private void choose() {
        Set<HostId> now = new TreeSet<>(hosts);
        now.removeAll(leases.sealedHosts());
        if (now.equals(candidates)) {
            return;
        }
        candidates = now;
        Rendezvous rendezvous = new Rendezvous(now);
        ALL.forEach(s -> wanted[s.number()] = rendezvous.ownerOf(s).orElse(host));
        lacking = null;
        settled = null;
    }

    /** Returns the slots that this host should own but does not. */
    private List<Slot> lacking() {
        List<Slot> known = lacking;
        if (known == null) {
            known = ALL.stream().filter(this::isWanted).toList();
            lacking = known;
        }
        return known;
    }

    private void scanHeads() {
        if (scanningHeads || nowMs - headsAtMs < heartbeatMs) {
            return;
        }
        scanningHeads = true;
        headsAtMs = nowMs;
        scanHeads("");
    }

    private void scanHeads(String after) {
        table.scan(Keys.HEADS, after, SCAN_ROWS, answer -> {
            scanningHeads = false;
            if (!answer.ok()) {
                leases.restart(nowMs);
                return;
            }
            leases.saw(answer.rows(), nowMs);
            if (answer.rows().size() == SCAN_ROWS) {
                scanningHeads = true;
                scanHeads(answer.rows().get(SCAN_ROWS - 1).key());
            }
        });
    }

    private void scanSlots() {
        if (scanningSlots || (slotsRead && nowMs - slotsAtMs < REFRESH_MS)) {
            return;
        }
        scanningSlots = true;
        slotsAtMs = nowMs;
        scanSlots("");
    }

    private void scanSlots(String after) {
        table.scan(Keys.SLOTS, after, SCAN_ROWS, answer -> {
            scanningSlots = false;
            if (!answer.ok()) {
                return;
            }
            answer.rows().forEach(this::learn);
            if (answer.rows().size() < SCAN_ROWS) {
                slotsRead = true;
                return;
            }
            scanningSlots = true;
            scanSlots(answer.rows().get(SCAN_ROWS - 1).key());
        });
    }

    private void learn(Row row) {
        int number = Integer.parseInt(row.key().substring(Keys.SLOTS.length()));
        Known before = known[number];
        if (before == null || row.version() > before.version()) {
            known[number] = new Known(row.version(), parse(row));
        }
    }

    private static SlotRow parse(Row row) {
        try {
            return SlotRow.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("row " + row.key() + " is not a slot row", e);
        }
    }

    private void seal(Leases.Seen seen) {
        Head head = seen.head().toBuilder().setSealedBy(host.value()).build();
        String key = Keys.head(seen.host());
        Txn txn = new Txn(
                List.of(new Txn.Condition(key, seen.version())), List.of(Txn.Change.put(key, head.toByteString())));
        leases.restart(seen, nowMs);
        table.write(txn, result -> sealed(seen, head, result));
    }

    private void sealed(Leases.Seen seen, Head head, TxnResult result) {
        switch (result.status()) {
            case COMMITTED -> {
                log.accept("lease: sealed " + seen.host() + " at batch " + head.getSeq());
                leases.sealed(seen, head, nowMs);
            }
            case CONFLICT -> leases.saw(result.found(), nowMs);
            case UNKNOWN -> {
                // The next scan of the heads tells.
            }
        }
    }

    private Known at(Slot slot) {
        Known k = known[slot.number()];
        return k == null ? new Known(0, SlotRow.getDefaultInstance()) : k;
    }

    private boolean isWanted(Slot slot) {
        return host.equals(wanted[slot.number()]) && !mine.containsKey(slot);
    }

    private boolean isFree(Slot slot) {
        String owner = at(slot).row().getOwner();
        return owner.isEmpty() || leases.sealed(owner).isPresent();
    }

    private void claim() {
        List<Claim> claims = lacking().stream()
                .filter(this::isFree)
                .limit(CLAIM_ROWS)
                .map(s -> new Claim(s, claimRow(at(s).row())))
                .toList();
        if (!claims.isEmpty()) {
            write(claims, this::own);
        }
    }

    private SlotRow claimRow(SlotRow before) {
        SlotRow.Builder row = SlotRow.newBuilder()
                .setOwner(host.value())
                .setEpoch(before.getEpoch() + 1)
                .setFromSeq(nextSeq.getAsLong())
                .addAllChain(before.getChainList());
        leases.sealed(before.getOwner())
                .filter(s -> s.head().hasSnapshot() || s.head().getSeq() >= before.getFromSeq())
                .ifPresent(s -> row.addChain(Link.newBuilder()
                        .setHost(before.getOwner())
                        .setFromSeq(before.getFromSeq())
                        .setToSeq(s.head().getSeq())));
        return row.build();
    }

    private void own(List<Claim> claims) {
        if (claims.isEmpty()) {
            return;
        }
        claims.forEach(c -> mine.put(c.slot(), c.row()));
        lacking = null;
        settled = null;
        log.accept("owner: claimed " + claims.size() + " slots");
        claimed.accept(claims);
    }

    private void write(List<Claim> rows, Consumer<List<Claim>> done) {
        List<Txn.Condition> conditions = new ArrayList<>();
        List<Txn.Change> changes = new ArrayList<>();
        for (Claim row : rows) {
            String key = Keys.slot(row.slot());
            conditions.add(new Txn.Condition(key, at(row.slot()).version()));
            changes.add(Txn.Change.put(key, row.row().toByteString()));
        }
        write = new Write(new Txn(conditions, changes), rows, done);
        writeAtMs = nowMs;
    }

    private void push() {
        Write w = write;
        if (w == null || writing || nowMs < writeAtMs) {
            return;
        }
        writing = true;
        writeAtMs = nowMs + RETRY_MS;
        table.write(w.txn(), result -> written(w, result));
    }

    private void written(Write w, TxnResult result) {
        writing = false;
        if (result.status() == TxnResult.Status.UNKNOWN) {
            // The very same write is repeated until its effect is known.
            return;
        }
        write = null;
        if (result.status() == TxnResult.Status.COMMITTED) {
            for (int i = 0; i < w.rows().size(); i++) {
                learnWritten(w.txn().conditions().get(i), w.txn().changes().get(i));
            }
            w.done().accept(w.rows());
            return;
        }
        result.found().stream().filter(Row::exists).forEach(this::learn);
        List<Claim> landed = w.rows().stream().filter(this::hasLanded).toList();
        log.accept("owner: " + landed.size() + " of " + w.rows().size() + " slot rows were written before a conflict");
        w.done().accept(landed);
    }

    /** A poll may have read the row since it was written, or even a later one. */
    private void learnWritten(Txn.Condition condition, Txn.Change change) {
        learn(new Row(condition.key(), condition.version() + 1, change.value()));
    }

    /** An earlier copy of a write may have landed, and others may have claimed since what it released. */
    private boolean hasLanded(Claim wanted) {
        SlotRow now = at(wanted.slot()).row();
        boolean claimedSince = wanted.row().getOwner().isEmpty()
                && now.getEpoch() > wanted.row().getEpoch();
        return claimedSince || now.equals(wanted.row());
    }

    private void poll() {
        if (polling || !slotsRead || nowMs - pollAtMs < POLL_MS) {
            return;
        }
        Stream<Slot> waiting = draining ? Stream.empty() : lacking().stream().filter(s -> !isFree(s));
        List<String> keys = Stream.concat(missed.stream(), waiting)
                .distinct()
                .limit(POLL_ROWS)
                .map(Keys::slot)
                .toList();
        missed.clear();
        if (keys.isEmpty()) {
            return;
        }
        polling = true;
        pollAtMs = nowMs;
        table.read(keys, answer -> {
            polling = false;
            answer.rows().stream().filter(Row::exists).forEach(this::learn);
        });
    }

    /**
     * Writes slot rows of this host anew.
     *
     * @param rows the slots with their new rows; a row without owner releases its slot
     * @param done told of those that took effect
     * @return false when another write is under way; try again later
     */
    public boolean rewrite(List<Claim> rows, Consumer<List<Claim>> done) {
        if (write != null) {
            return false;
        }
        List<Claim> still = rows.stream().filter(r -> isStillMine(r.slot())).toList();
        if (still.isEmpty()) {
            done.accept(List.of());
            return true;
        }
        write(still, landed -> {
            landed.forEach(this::adopt);
            done.accept(landed);
        });
        return true;
    }

    /** Another host may have claimed a slot of this one, which was sealed and does not know it yet. */
    private boolean isStillMine(Slot slot) {
        SlotRow own = mine.get(slot);
        SlotRow now = at(slot).row();
        return own != null && now.getOwner().equals(host.value()) && now.getEpoch() == own.getEpoch();
    }

    private void adopt(Claim claim) {
        if (claim.row().getOwner().equals(host.value())) {
            mine.put(claim.slot(), claim.row());
        } else {
            mine.remove(claim.slot());
            lacking = null;
            settled = null;
        }
    }

    /**
     * Returns the slots that this host owns, with their rows.
     *
     * @return the slots in order
     */
    public List<Claim> owned() {
        return mine.entrySet().stream()
                .map(e -> new Claim(e.getKey(), e.getValue()))
                .toList();
    }

    /**
     * Returns whether this host owns no slot that another should own.
     *
     * @return true when nothing has to move
     */
    public boolean settled() {
        Boolean known = settled;
        if (known == null) {
            known = mine.keySet().stream().noneMatch(this::shouldMove);
            settled = known;
        }
        return known;
    }

    /**
     * Returns whether no write of slot rows is under way.
     *
     * @return true when the rows are as {@link #owned} says
     */
    public boolean isIdle() {
        return write == null;
    }

    /**
     * Returns whether another host should own a slot of this host.
     *
     * @param slot the slot
     * @return true when it should move
     */
    public boolean shouldMove(Slot slot) {
        return draining || !host.equals(wanted[slot.number()]);
    }

    /**
     * Returns the host that owns a slot as far as this host knows.
     *
     * @param slot the slot
     * @return the owner read last; the host that should own it when none is known
     */
    public Optional<HostId> ownerOf(Slot slot) {
        if (mine.containsKey(slot)) {
            return Optional.of(host);
        }
        String owner = at(slot).row().getOwner();
        if (!owner.isEmpty() && leases.sealed(owner).isEmpty()) {
            return Optional.of(new HostId(owner));
        }
        return Optional.ofNullable(wanted[slot.number()]);
    }
}
