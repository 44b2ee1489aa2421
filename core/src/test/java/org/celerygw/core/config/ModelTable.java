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

/** A table in model time that delays, fails, loses answers, and lets writes take effect after their answer was lost. */
final class ModelTable implements Table {
    private final UniformRandomProvider random;
    private final Map<String, Row> rows = new HashMap<>();
    private final List<Due> due = new ArrayList<>();
    double lostAnswers;
    boolean down;
    long reads;
    long nowMs;

    ModelTable(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        long effectMs = delayMs();
        if (down || random.nextDouble() < lostAnswers) {
            if (!down && random.nextBoolean()) {
                later(effectMs + random.nextLong(3000), () -> commit(txn));
            }
            later(effectMs, () -> done.accept(TxnResult.UNKNOWN));
            return;
        }
        later(effectMs, () -> {
            TxnResult result = commit(txn);
            later(delayMs(), () -> done.accept(result));
        });
    }

    @Override
    public void read(List<String> keys, Consumer<Answer> done) {
        reads += keys.size();
        if (down || random.nextDouble() < lostAnswers) {
            later(delayMs(), () -> done.accept(Answer.FAILED));
            return;
        }
        later(delayMs(), () -> {
            Answer answer = new Answer(true, keys.stream().map(this::row).toList());
            later(delayMs(), () -> done.accept(answer));
        });
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
        throw new UnsupportedOperationException("not used by configurations");
    }

    void runUntil(long untilMs) {
        nowMs = untilMs;
        while (true) {
            List<Due> ready = due.stream().filter(d -> d.atMs <= untilMs).toList();
            if (ready.isEmpty()) {
                return;
            }
            due.removeAll(ready);
            ready.forEach(d -> d.action.run());
        }
    }

    Row row(String key) {
        return rows.getOrDefault(key, Row.absent(key));
    }

    private TxnResult commit(Txn txn) {
        boolean holds = txn.conditions().stream().allMatch(c -> row(c.key()).version() == c.version());
        if (!holds) {
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

    private void later(long atMs, Runnable action) {
        due.add(new Due(atMs, action));
    }

    private record Due(long atMs, Runnable action) {}
}
