package org.celerygw.standin.world;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/** A table and an object store in model time, with outages, lost answers and writes that land late. */
final class FakeStore implements Table, ObjectStore {
    private final Timeline time;
    private final UniformRandomProvider random;
    private final NavigableMap<String, Row> rows = new TreeMap<>();
    private final Map<String, ByteString> objects = new HashMap<>();
    private long delayMs = 5;
    private boolean down;
    private double lostAnswers;
    private double lateWrites;
    private long writes;
    private long writtenBytes;
    private long reads;

    FakeStore(Timeline time, UniformRandomProvider random) {
        this.time = time;
        this.random = random;
    }

    void down(boolean isDown) {
        down = isDown;
    }

    void delay(long eachMs) {
        delayMs = eachMs;
    }

    void faults(double lostShare, double lateShare) {
        lostAnswers = lostShare;
        lateWrites = lateShare;
    }

    private long wayMs() {
        return delayMs / 2 + random.nextLong(delayMs + 1);
    }

    private boolean happens(double share) {
        return random.nextDouble() < share;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        writes++;
        time.after(wayMs(), () -> {
            if (down || happens(lateWrites)) {
                if (happens(0.5)) {
                    time.after(random.nextLong(10_000), () -> apply(txn));
                }
                time.after(wayMs(), () -> done.accept(TxnResult.UNKNOWN));
                return;
            }
            TxnResult result = apply(txn);
            TxnResult told = happens(lostAnswers) ? TxnResult.UNKNOWN : result;
            time.after(wayMs(), () -> done.accept(told));
        });
    }

    private TxnResult apply(Txn txn) {
        if (txn.conditions().stream().anyMatch(c -> row(c.key()).version() != c.version())) {
            return TxnResult.conflict(
                    txn.conditions().stream().map(c -> row(c.key())).toList());
        }
        txn.changes().forEach(this::change);
        return TxnResult.COMMITTED;
    }

    private void change(Txn.Change c) {
        if (c.delete()) {
            rows.remove(c.key());
            return;
        }
        writtenBytes += c.value().size();
        rows.put(c.key(), new Row(c.key(), row(c.key()).version() + 1, c.value()));
    }

    private Row row(String key) {
        return rows.getOrDefault(key, Row.absent(key));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> done) {
        answer(() -> keys.stream().map(this::row).toList(), done);
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> done) {
        String from = afterKey.compareTo(prefix) > 0 ? afterKey : prefix;
        answer(
                () -> rows.tailMap(from, false).values().stream()
                        .takeWhile(r -> r.key().startsWith(prefix))
                        .limit(limit)
                        .toList(),
                done);
    }

    private void answer(java.util.function.Supplier<List<Row>> rowsNow, Consumer<ReadResult> done) {
        reads++;
        time.after(wayMs(), () -> {
            boolean lost = down || happens(lostAnswers);
            ReadResult answer = lost ? ReadResult.FAILED : new ReadResult(true, rowsNow.get());
            time.after(wayMs(), () -> done.accept(answer));
        });
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> done) {
        time.after(wayMs(), () -> {
            boolean stored = !down;
            if (stored) {
                writtenBytes += content.size();
                objects.put(name, content);
            }
            boolean told = stored && !happens(lostAnswers);
            time.after(wayMs(), () -> done.accept(told));
        });
    }

    @Override
    public void get(String name, Consumer<GetResult> done) {
        time.after(wayMs(), () -> {
            GetResult fetched = fetch(name);
            time.after(wayMs(), () -> done.accept(fetched));
        });
    }

    private GetResult fetch(String name) {
        if (down || happens(lostAnswers)) {
            return new GetResult(Status.UNAVAILABLE, ByteString.EMPTY);
        }
        ByteString content = objects.get(name);
        return content == null ? new GetResult(Status.ABSENT, ByteString.EMPTY) : new GetResult(Status.FOUND, content);
    }

    @Override
    public void delete(String name, Consumer<Boolean> done) {
        objects.remove(name);
        done.accept(true);
    }

    /** Cuts the end off every object with a prefix and returns how many there were. */
    int tear(String prefix) {
        List<String> names =
                objects.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
        names.forEach(n ->
                objects.computeIfPresent(n, (name, content) -> content.substring(0, Math.max(0, content.size() - 3))));
        return names.size();
    }

    long writes() {
        return writes;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    long reads() {
        return reads;
    }

    int rowCount() {
        return rows.size();
    }
}
