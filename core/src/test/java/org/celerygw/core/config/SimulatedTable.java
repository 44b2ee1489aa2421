package org.celerygw.core.config;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/**
 * A table in simulated time that delays and fails requests, loses responses, and lets writes take effect after their
 * response was lost.
 */
final class SimulatedTable implements Table {
    private final UniformRandomProvider random;
    private final Map<String, Row> rows = new HashMap<>();
    private final List<ScheduledAction> scheduledActions = new ArrayList<>();
    double failureProbability;
    boolean unavailable;
    long keysRead;
    long nowMs;

    SimulatedTable(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        long effectAtMs = delayMs();
        if (unavailable || random.nextDouble() < failureProbability) {
            if (!unavailable && random.nextBoolean()) {
                schedule(effectAtMs + random.nextLong(3000), () -> commit(txn));
            }
            schedule(effectAtMs, () -> callback.accept(TxnResult.UNKNOWN));
            return;
        }
        schedule(effectAtMs, () -> {
            TxnResult result = commit(txn);
            schedule(delayMs(), () -> callback.accept(result));
        });
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        keysRead += keys.size();
        if (unavailable || random.nextDouble() < failureProbability) {
            schedule(delayMs(), () -> callback.accept(ReadResult.FAILED));
            return;
        }
        schedule(delayMs(), () -> {
            ReadResult readResult =
                    new ReadResult(true, keys.stream().map(this::row).toList());
            schedule(delayMs(), () -> callback.accept(readResult));
        });
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        throw new UnsupportedOperationException("scan is not used by the configuration code");
    }

    void runUntil(long untilMs) {
        nowMs = untilMs;
        while (true) {
            List<ScheduledAction> dueActions =
                    scheduledActions.stream().filter(d -> d.dueAtMs <= untilMs).toList();
            if (dueActions.isEmpty()) {
                return;
            }
            scheduledActions.removeAll(dueActions);
            dueActions.forEach(d -> d.action.run());
        }
    }

    Row row(String key) {
        return rows.getOrDefault(key, Row.absent(key));
    }

    private TxnResult commit(Txn txn) {
        boolean conditionsHold =
                txn.conditions().stream().allMatch(c -> row(c.key()).version() == c.version());
        if (!conditionsHold) {
            return TxnResult.conflict(
                    txn.conditions().stream().map(c -> row(c.key())).toList());
        }
        txn.changes().forEach(c -> put(c.key(), c.value()));
        return TxnResult.COMMITTED;
    }

    private void put(String key, ByteString value) {
        rows.put(key, new Row(key, row(key).version() + 1, value));
    }

    private long delayMs() {
        return nowMs + 1 + random.nextLong(10);
    }

    private void schedule(long dueAtMs, Runnable action) {
        scheduledActions.add(new ScheduledAction(dueAtMs, action));
    }

    private record ScheduledAction(long dueAtMs, Runnable action) {}
}
