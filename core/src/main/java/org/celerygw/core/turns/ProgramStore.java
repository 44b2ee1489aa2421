package org.celerygw.core.turns;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Stores programs as rows: tokens are reserved in a program's budget before each turn and settled after it, and the
 * history of a turn is written in the same transaction as its settlement. Every write is conditional on the version of
 * the program's row, so any host may serve any turn. A write whose result is unknown is retried, which is idempotent:
 * the retry either finds that the first attempt took effect, or takes effect itself. The state of a host is only a
 * cache. Not thread-safe: must be called on one event loop, on which the tables and the scheduler call back.
 *
 * <pre>{@code
 * programStore.reserve(new Reservation(program, turn, 136, 1_088, 60_000), deadlineMs, result -> ...);
 * programStore.settle(program, turn, 40, storedTurn, deadlineMs, result -> ...);
 * }</pre>
 */
public final class ProgramStore {
    private static final int MAX_BATCH_UPDATES = 24;
    private static final int MAX_BATCH_BYTES = 500_000;
    private static final int SCAN_PAGE_ROWS = 500;
    private static final int MAX_CACHED_PROGRAMS = 20_000;
    private static final long SETTLE_DELAY_MS = 400;
    private static final long SETTLE_RETRY_MS = 15_000;

    private final List<Table> partitions;
    private final String processName;
    private final Clock clock;
    private final Scheduler scheduler;
    private final int rowBytes;
    private final long cacheBytes;
    private final LinkedHashMap<String, CachedProgram> programs = new LinkedHashMap<>(256, 0.75f, true);
    private long cachedBytes;
    private final List<PartitionCircuitBreaker> breakers;
    private final StreamLog streamLog;
    private long advanceReservationCount;
    private long storedTurns;
    private long turnsReservedAhead;

    /**
     * Creates a store without cached programs.
     *
     * @param partitions the store's partitions; their number must be the same on every host and must never change
     * @param processName a name that no other process, earlier or later, has; part of the advance reservations' names
     * @param clock the source of the current time
     * @param scheduler runs retries and delayed writes
     * @param rowBytes the maximum size of a row's value, in bytes
     * @param cacheBytes the maximum total size of the cached turns' inputs and outputs, in bytes
     */
    public ProgramStore(
            List<Table> partitions,
            String processName,
            Clock clock,
            Scheduler scheduler,
            int rowBytes,
            long cacheBytes) {
        this.partitions = List.copyOf(partitions);
        this.processName = processName;
        this.clock = clock;
        this.scheduler = scheduler;
        this.rowBytes = rowBytes;
        this.cacheBytes = cacheBytes;
        this.streamLog = new StreamLog(this, rowBytes);
        this.breakers = partitions.stream()
                .map(p -> new PartitionCircuitBreaker(clock, scheduler, program -> writePending(program, false)))
                .toList();
    }

    /**
     * Returns the log of the streams of the programs in this store.
     *
     * @return the log
     */
    public StreamLog streamLog() {
        return streamLog;
    }

    /**
     * Returns whether the partition that stores a program responds.
     *
     * @param program the program's id
     * @return false after two consecutive calls to the partition with an unknown result
     */
    public boolean isStoreAvailable(String program) {
        return breakers.get(ProgramRowKeys.partition(ProgramRowKeys.safeId(program), partitions.size()))
                .isClosed();
    }

    /**
     * Returns whether a turn probably fits the budget, according to this host's cache.
     *
     * @param program the program's id
     * @param maxTokens the maximum number of tokens that the turn may use
     * @param budgetTokens the budget of the whole program, in tokens
     * @return true if the cached budget has room for the turn, or if the program is not cached
     */
    public boolean likelyWithinBudget(String program, long maxTokens, long budgetTokens) {
        CachedProgram cached = programs.get(ProgramRowKeys.safeId(program));
        return cached == null || cached.budget.fits(maxTokens, budgetTokens);
    }

    /**
     * Reserves the maximum number of tokens that a turn may use. Needs no write if an advance reservation is available.
     *
     * @param reservation the turn and its limits
     * @param deadlineMs when to report {@link UpdateResult#UNAVAILABLE}, in ms since 1970-01-01 UTC
     * @param callback called once with the result
     */
    public void reserve(Reservation reservation, long deadlineMs, Consumer<UpdateResult> callback) {
        CachedProgram cached = cachedProgram(reservation.program());
        cached.recordDemand(reservation);
        boolean inBudget = cached.budget.fits(0, reservation.budgetTokens());
        if (inBudget
                && cached.advanceReservations.bind(
                        ProgramRowKeys.safeId(reservation.turn()), reservation.maxTokens(), clock.nowMs())) {
            turnsReservedAhead++;
            callback.accept(UpdateResult.COMMITTED);
            return;
        }
        enqueue(cached, PendingUpdate.reservation(reservation, deadlineMs, callback));
    }

    /**
     * Settles a reserved turn and stores its history, in one transaction.
     *
     * @param program the program's id
     * @param turn the turn's id
     * @param tokens the tokens that were delivered to the client
     * @param softwareVersion the software version at which the turn's stream began; empty if no event of it was delivered
     *     or it cannot be resumed
     * @param storedTurn the turn to store; null if its history is not stored
     * @param deadlineMs when to report {@link UpdateResult#UNAVAILABLE}, in ms since 1970-01-01 UTC; the write is retried for
     *     {@value #SETTLE_RETRY_MS} ms longer
     * @param callback called once with the result
     */
    public void settle(
            String program,
            String turn,
            long tokens,
            String softwareVersion,
            @Nullable StoredTurn storedTurn,
            long deadlineMs,
            Consumer<UpdateResult> callback) {
        CachedProgram cached = cachedProgram(program);
        enqueue(cached, newSettlement(cached, turn, tokens, softwareVersion, storedTurn, deadlineMs, callback));
    }

    /**
     * Settles a reserved turn whose history is not stored. The write is delayed by up to {@value #SETTLE_DELAY_MS} ms
     * so that it can share a transaction with the program's next reservation; until then the turn counts with its full
     * reservation.
     *
     * @param program the program's id
     * @param turn the turn's id
     * @param tokens the tokens that were delivered to the client
     * @param softwareVersion the software version at which the turn's stream began; empty if no event of it was delivered
     *     or it cannot be resumed
     */
    public void settleLater(String program, String turn, long tokens, String softwareVersion) {
        CachedProgram cached = cachedProgram(program);
        cached.pendingUpdates.add(newSettlement(
                cached, turn, tokens, softwareVersion, null, clock.nowMs() + SETTLE_RETRY_MS, result -> {}));
        scheduler.schedule(SETTLE_DELAY_MS, () -> writePending(cached, false));
    }

    private static PendingUpdate newSettlement(
            CachedProgram program,
            String turn,
            long tokens,
            String softwareVersion,
            @Nullable StoredTurn storedTurn,
            long deadlineMs,
            Consumer<UpdateResult> callback) {
        String safeId = ProgramRowKeys.safeId(turn);
        return PendingUpdate.settlement(
                safeId,
                program.advanceReservations.unbind(safeId),
                tokens,
                softwareVersion,
                storedTurn,
                deadlineMs,
                callback);
    }

    /**
     * Records at which software version a turn's stream begins, so that any host can resume it at the same one.
     *
     * @param program the program's id
     * @param turn the turn's id
     * @param softwareVersion the version
     * @param retentionMs how long the program's rows are retained after this, in ms
     * @param deadlineMs when to report {@link UpdateResult#UNAVAILABLE}, in ms since 1970-01-01 UTC
     * @param callback called once with the result
     */
    public void recordStream(
            String program,
            String turn,
            String softwareVersion,
            long retentionMs,
            long deadlineMs,
            Consumer<UpdateResult> callback) {
        CachedProgram cached = cachedProgram(program);
        cached.softwareVersion = softwareVersion;
        enqueue(
                cached,
                PendingUpdate.streamVersion(
                        ProgramRowKeys.safeId(turn), softwareVersion, retentionMs, deadlineMs, callback));
    }

    /**
     * Returns what a host that reads the program's row would learn about a stream of this host, according to the cache.
     *
     * @param program the program's id
     * @param turn the turn's id; reserved by this host and not settled
     * @return the software version at which the stream begins; empty if the row does not tell
     */
    public Optional<String> storedStreamVersion(String program, String turn) {
        return cachedProgram(program).budget.streamVersion(ProgramRowKeys.safeId(turn));
    }

    /**
     * Returns whether a turn of this host runs under an advance reservation.
     *
     * @param program the program's id
     * @param turn the turn's id; reserved by this host and not settled
     * @return false if it has a reservation of its own
     */
    public boolean isReservedAhead(String program, String turn) {
        return cachedProgram(program).advanceReservations.isBound(ProgramRowKeys.safeId(turn));
    }

    /**
     * Reads at which software version a turn's stream began; retries until the deadline while the store is unavailable.
     *
     * @param program the program's id
     * @param turn the id of the turn that brought the stream's first event, at any host
     * @param deadlineMs when to stop retrying, in ms since 1970-01-01 UTC
     * @param callback called once with the result
     */
    public void readStreamVersion(String program, String turn, long deadlineMs, Consumer<StreamOrigin> callback) {
        CachedProgram cached = cachedProgram(program);
        cached.table.read(List.of(ProgramRowKeys.programRow(cached.safeId)), result -> {
            breaker(cached).recordResult(result.ok());
            if (result.ok()) {
                StreamOrigin origin = StreamOrigin.UNAVAILABLE;
                try {
                    origin = Budget.parse(result.rows().get(0))
                            .streamVersion(ProgramRowKeys.safeId(turn))
                            .map(StreamOrigin::known)
                            .orElse(StreamOrigin.UNKNOWN);
                } finally {
                    // Also if the row cannot be decoded: the caller waits for it.
                    callback.accept(origin);
                }
            } else if (!retryBefore(deadlineMs, cached, () -> readStreamVersion(program, turn, deadlineMs, callback))) {
                callback.accept(StreamOrigin.UNAVAILABLE);
            }
        });
    }

    /**
     * Reads the chain of turns that a new turn continues; retries until the deadline while the store is unavailable.
     *
     * @param program the program's id
     * @param previousTurn the id of the turn to continue
     * @param deadlineMs when to stop retrying, in ms since 1970-01-01 UTC
     * @param callback called once with the chain
     */
    public void readChain(String program, String previousTurn, long deadlineMs, Consumer<TurnChain> callback) {
        readChain(program, previousTurn, "", deadlineMs, callback);
    }

    /**
     * Reads the chain of turns that a new turn of a customer continues. A turn of another customer counts as missing.
     *
     * @param program the program's id
     * @param previousTurn the id of the turn to continue
     * @param customer the customer's name; empty for none
     * @param deadlineMs when to stop retrying, in ms since 1970-01-01 UTC
     * @param callback called once with the chain
     */
    public void readChain(
            String program, String previousTurn, String customer, long deadlineMs, Consumer<TurnChain> callback) {
        CachedProgram cached = cachedProgram(program);
        ChainReader reader = new ChainReader(this, customer, chain -> {
            boolean retried = chain.status() == TurnChain.Status.UNAVAILABLE
                    && retryBefore(
                            deadlineMs, cached, () -> readChain(program, previousTurn, customer, deadlineMs, callback));
            if (!retried) {
                callback.accept(chain);
            }
        });
        reader.start(cached, ProgramRowKeys.safeId(previousTurn));
    }

    /**
     * Returns how many turns this host has written to the store.
     *
     * @return the number of turns since the start of the process
     */
    public long storedTurns() {
        return storedTurns;
    }

    /**
     * Returns how many turns started with an advance reservation.
     *
     * @return the number of turns since the start of the process
     */
    public long turnsReservedAhead() {
        return turnsReservedAhead;
    }

    /**
     * Returns how many programs have updates that wait to be written.
     *
     * @return the number of programs
     */
    public long programsWaiting() {
        return programs.values().stream()
                .filter(e -> !e.pendingUpdates.isEmpty())
                .count();
    }

    /**
     * Returns how many programs this host has in its cache.
     *
     * @return the number of programs
     */
    public int programsCached() {
        return programs.size();
    }

    /** Returns a program's cache entry; adds an empty one if the program is not cached. */
    CachedProgram cachedProgram(String program) {
        return cachedBySafeId(ProgramRowKeys.safeId(program));
    }

    /** Returns the cache entry of a program whose id is taken from a row, where it is escaped already. */
    CachedProgram cachedBySafeId(String safeId) {
        CachedProgram known = programs.get(safeId);
        if (known != null) {
            return known;
        }
        int partition = ProgramRowKeys.partition(safeId, partitions.size());
        CachedProgram added = new CachedProgram(safeId, partition, partitions.get(partition));
        programs.put(safeId, added);
        evict();
        return added;
    }

    List<Table> partitions() {
        return partitions;
    }

    /** Reads all rows of a program into the cache; the callback gets whether the store responded. */
    void load(CachedProgram program, Consumer<Boolean> callback) {
        program.loadCallbacks.add(callback);
        if (program.loadCallbacks.size() == 1) {
            scanAll(program, ProgramRowKeys.programPrefix(program.safeId), result -> finishLoad(program, result));
        }
    }

    private void finishLoad(CachedProgram program, Table.ReadResult result) {
        boolean cached = false;
        try {
            if (result.ok()) {
                cacheRows(program, result.rows());
                cached = true;
            }
        } finally {
            // Also if a row cannot be decoded: the next load begins only when no callback is left.
            List<Consumer<Boolean>> callbacks = List.copyOf(program.loadCallbacks);
            program.loadCallbacks.clear();
            boolean ok = cached;
            callbacks.forEach(c -> c.accept(ok));
        }
    }

    /** Reads all rows of a program whose keys begin with a prefix, page by page. */
    void scanAll(CachedProgram program, String prefix, Consumer<Table.ReadResult> callback) {
        readPage(program, prefix, "", new ArrayList<>(), callback);
    }

    private void readPage(
            CachedProgram program,
            String prefix,
            String afterKey,
            List<Row> rows,
            Consumer<Table.ReadResult> callback) {
        program.table.scan(prefix, afterKey, SCAN_PAGE_ROWS, result -> {
            rows.addAll(result.rows());
            if (result.ok() && result.rows().size() >= SCAN_PAGE_ROWS) {
                readPage(program, prefix, rows.get(rows.size() - 1).key(), rows, callback);
                return;
            }
            breaker(program).recordResult(result.ok());
            callback.accept(new Table.ReadResult(result.ok(), rows));
        });
    }

    private void cacheRows(CachedProgram program, List<Row> rows) {
        long bytesBefore = program.historyBytes;
        TurnRowCodec.decode(program.safeId, rows).forEach(program::cacheTurn);
        cachedBytes += program.historyBytes - bytesBefore;
        String key = ProgramRowKeys.programRow(program.safeId);
        rows.stream()
                .filter(r -> r.key().equals(key) && !program.callInFlight && r.version() > program.version)
                .forEach(r -> program.applyRow(r, clock.nowMs()));
    }

    private void enqueue(CachedProgram program, PendingUpdate update) {
        program.pendingUpdates.add(update);
        long leftMs = update.deadlineMs - clock.nowMs();
        scheduler.schedule(Math.max(1, leftMs), () -> update.complete(UpdateResult.UNAVAILABLE));
        writePending(program, false);
    }

    /**
     * Writes the pending updates of a program in one transaction, unless a call for it is in flight. A reservation that
     * exceeds the budget is rejected only if the budget was read or written just now; otherwise the budget is read
     * first.
     */
    private void writePending(CachedProgram program, boolean budgetIsFresh) {
        if (program.callInFlight) {
            return;
        }
        dropExpired(program);
        if (program.pendingUpdates.isEmpty()) {
            return;
        }
        if (program.version == CachedProgram.UNKNOWN_VERSION
                && !program.pendingUpdates.peek().isReservation()) {
            readBudget(program);
            return;
        }
        UpdateBatch batch = new UpdateBatch(program, rowBytes, clock.nowMs());
        Iterator<PendingUpdate> waiting = program.pendingUpdates.iterator();
        while (waiting.hasNext() && batch.updates.size() < MAX_BATCH_UPDATES) {
            PendingUpdate update = waiting.next();
            if (!batch.updates.isEmpty() && batch.historyBytes + update.historyBytes() > MAX_BATCH_BYTES) {
                break;
            }
            if (batch.tryAdd(update)) {
                waiting.remove();
            } else if (budgetIsFresh) {
                waiting.remove();
                batch.overBudget.add(update);
            } else {
                break;
            }
        }
        batch.overBudget.forEach(update -> update.complete(UpdateResult.BUDGET_EXCEEDED));
        if (batch.updates.isEmpty()) {
            if (!program.pendingUpdates.isEmpty()) {
                readBudget(program);
            }
        } else if (batch.hasChanges) {
            writeBatch(program, batch);
        } else {
            completeBatch(program, batch);
            writePending(program, budgetIsFresh);
        }
    }

    private void readBudget(CachedProgram program) {
        if (!breaker(program).tryAcquire(program)) {
            return;
        }
        program.callInFlight = true;
        program.table.read(List.of(ProgramRowKeys.programRow(program.safeId)), result -> {
            program.callInFlight = false;
            breaker(program).recordResult(result.ok());
            if (result.ok()) {
                program.applyRow(result.rows().get(0), clock.nowMs());
                writePending(program, true);
            } else {
                scheduleRetry(program);
            }
        });
    }

    private void writeBatch(CachedProgram program, UpdateBatch batch) {
        if (!breaker(program).tryAcquire(program)) {
            batch.requeue(program);
            return;
        }
        program.callInFlight = true;
        batch.updates.forEach(update -> update.writeAttempted = true);
        batch.reserveAhead(() -> Budget.ADVANCE_PREFIX + processName + "-" + advanceReservationCount++);
        batch.advanceReservationNames()
                .forEach(name -> program.advanceReservations.addUnconfirmed(name, program.maxTokens));
        program.table.write(batch.toTxn(), result -> {
            program.callInFlight = false;
            breaker(program).recordResult(result.status() != TxnResult.Status.UNKNOWN);
            switch (result.status()) {
                case COMMITTED -> onCommitted(program, batch, result.version());
                case CONFLICT -> {
                    batch.requeue(program);
                    result.currentRows().forEach(r -> program.applyRow(r, clock.nowMs()));
                    writePending(program, true);
                }
                case UNKNOWN -> {
                    batch.requeue(program);
                    scheduleRetry(program);
                }
            }
        });
    }

    private void onCommitted(CachedProgram program, UpdateBatch batch, long version) {
        program.budget = batch.budget;
        batch.advanceReservationNames().forEach(name -> program.advanceReservations.confirm(name, clock.nowMs()));
        program.version = version > 0 ? version : CachedProgram.UNKNOWN_VERSION;
        long bytesBefore = program.historyBytes;
        batch.updates.forEach(update -> {
            if (update.storedTurn != null) {
                storedTurns++;
                program.cacheTurn(update.turn, update.storedTurn);
            }
        });
        cachedBytes += program.historyBytes - bytesBefore;
        completeBatch(program, batch);
        writePending(program, version > 0);
    }

    /** Reports success to the callers; releases reservations whose deadline had passed before. */
    private void completeBatch(CachedProgram program, UpdateBatch batch) {
        batch.updates.forEach(update -> update.complete(UpdateResult.COMMITTED));
        batch.updates.stream()
                .filter(update -> update.abandoned)
                .forEach(update -> releaseReservation(program, update));
    }

    private void releaseReservation(CachedProgram program, PendingUpdate update) {
        program.pendingUpdates.add(PendingUpdate.settlement(
                update.turn, update.turn, 0, "", null, clock.nowMs() + SETTLE_RETRY_MS, result -> {}));
    }

    /** Records whether a call about a program's rows had a result. */
    void recordCall(CachedProgram program, boolean resultKnown) {
        breaker(program).recordResult(resultKnown);
    }

    private PartitionCircuitBreaker breaker(CachedProgram program) {
        return breakers.get(program.partition);
    }

    private void scheduleRetry(CachedProgram program) {
        scheduler.schedule(retryDelayMs(program), () -> writePending(program, false));
    }

    /** Schedules a retry after a pause; returns false, without a retry, if that would be after the deadline. */
    boolean retryBefore(long deadlineMs, CachedProgram program, Runnable retry) {
        long pauseMs = retryDelayMs(program);
        boolean inTime = clock.nowMs() + pauseMs < deadlineMs;
        if (inTime) {
            scheduler.schedule(pauseMs, retry);
        }
        return inTime;
    }

    /** Returns the delay before the next call, with jitter so that hosts do not retry all at once after an outage. */
    private long retryDelayMs(CachedProgram program) {
        long pauseMs = breaker(program).pauseMs();
        return pauseMs / 2 + Math.floorMod(program.safeId.hashCode() + clock.nowMs(), pauseMs + 1);
    }

    /**
     * Drops updates whose deadline has passed, settlements {@value #SETTLE_RETRY_MS} ms after it. A dropped reservation
     * that may have been written is released.
     */
    private void dropExpired(CachedProgram program) {
        long nowMs = clock.nowMs();
        List<PendingUpdate> expired = program.pendingUpdates.stream()
                .filter(update ->
                        nowMs >= (update.isReservation() ? update.deadlineMs : update.deadlineMs + SETTLE_RETRY_MS))
                .toList();
        program.pendingUpdates.removeAll(expired);
        for (PendingUpdate update : expired) {
            update.complete(UpdateResult.UNAVAILABLE);
            if (update.isReservation() && update.writeAttempted) {
                releaseReservation(program, update);
            }
        }
    }

    private void evict() {
        Iterator<Map.Entry<String, CachedProgram>> oldest = programs.entrySet().iterator();
        while ((cachedBytes > cacheBytes || programs.size() > MAX_CACHED_PROGRAMS) && oldest.hasNext()) {
            CachedProgram program = oldest.next().getValue();
            if (program.isIdle()) {
                oldest.remove();
                cachedBytes -= program.historyBytes;
            }
        }
    }
}
