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

/** A table and an object store in simulated time, with outages, lost responses and writes that take effect late. */
final class FakeStore implements Table, ObjectStore {
    private final SimulatedClock clock;
    private final UniformRandomProvider random;
    private final NavigableMap<String, Row> rows = new TreeMap<>();
    private final Map<String, ByteString> objects = new HashMap<>();
    private long meanDelayMs = 5;
    private boolean down;
    private double responseLossProbability;
    private double unconfirmedWriteProbability;
    private long writeCount;
    private long writtenBytes;
    private long readCount;

    FakeStore(SimulatedClock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    void setMeanDelay(long delayMs) {
        meanDelayMs = delayMs;
    }

    void setFaultProbabilities(double responseLoss, double unconfirmedWrite) {
        responseLossProbability = responseLoss;
        unconfirmedWriteProbability = unconfirmedWrite;
    }

    private long randomDelayMs() {
        return meanDelayMs / 2 + random.nextLong(meanDelayMs + 1);
    }

    private boolean occurs(double probability) {
        return random.nextDouble() < probability;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        writeCount++;
        clock.schedule(randomDelayMs(), () -> {
            if (down || occurs(unconfirmedWriteProbability)) {
                if (occurs(0.5)) {
                    clock.schedule(random.nextLong(10_000), () -> apply(txn));
                }
                clock.schedule(randomDelayMs(), () -> callback.accept(TxnResult.UNKNOWN));
                return;
            }
            TxnResult result = apply(txn);
            TxnResult reported = occurs(responseLossProbability) ? TxnResult.UNKNOWN : result;
            clock.schedule(randomDelayMs(), () -> callback.accept(reported));
        });
    }

    private TxnResult apply(Txn txn) {
        if (txn.conditions().stream().anyMatch(c -> currentRow(c.key()).version() != c.version())) {
            return TxnResult.conflict(
                    txn.conditions().stream().map(c -> currentRow(c.key())).toList());
        }
        txn.changes().forEach(this::applyChange);
        return TxnResult.COMMITTED;
    }

    private void applyChange(Txn.Change c) {
        if (c.delete()) {
            rows.remove(c.key());
            return;
        }
        writtenBytes += c.value().size();
        rows.put(c.key(), new Row(c.key(), currentRow(c.key()).version() + 1, c.value()));
    }

    private Row currentRow(String key) {
        return rows.getOrDefault(key, Row.absent(key));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        respond(() -> keys.stream().map(this::currentRow).toList(), callback);
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        String from = afterKey.compareTo(prefix) > 0 ? afterKey : prefix;
        respond(
                () -> rows.tailMap(from, false).values().stream()
                        .takeWhile(r -> r.key().startsWith(prefix))
                        .limit(limit)
                        .toList(),
                callback);
    }

    private void respond(java.util.function.Supplier<List<Row>> currentRows, Consumer<ReadResult> callback) {
        readCount++;
        clock.schedule(randomDelayMs(), () -> {
            boolean lost = down || occurs(responseLossProbability);
            ReadResult result = lost ? ReadResult.FAILED : new ReadResult(true, currentRows.get());
            clock.schedule(randomDelayMs(), () -> callback.accept(result));
        });
    }

    @Override
    public void put(String name, ByteString content, Consumer<Boolean> callback) {
        clock.schedule(randomDelayMs(), () -> {
            boolean stored = !down;
            if (stored) {
                writtenBytes += content.size();
                objects.put(name, content);
            }
            boolean reported = stored && !occurs(responseLossProbability);
            clock.schedule(randomDelayMs(), () -> callback.accept(reported));
        });
    }

    @Override
    public void get(String name, Consumer<GetResult> callback) {
        clock.schedule(randomDelayMs(), () -> {
            GetResult result = fetchObject(name);
            clock.schedule(randomDelayMs(), () -> callback.accept(result));
        });
    }

    private GetResult fetchObject(String name) {
        if (down || occurs(responseLossProbability)) {
            return new GetResult(Status.UNAVAILABLE, ByteString.EMPTY);
        }
        ByteString content = objects.get(name);
        return content == null ? new GetResult(Status.ABSENT, ByteString.EMPTY) : new GetResult(Status.FOUND, content);
    }

    @Override
    public void delete(String name, Consumer<Boolean> callback) {
        objects.remove(name);
        callback.accept(true);
    }

    /** Truncates every object whose name starts with the prefix and returns how many objects it changed. */
    int truncateObjects(String prefix) {
        List<String> names =
                objects.keySet().stream().filter(n -> n.startsWith(prefix)).toList();
        names.forEach(n ->
                objects.computeIfPresent(n, (name, content) -> content.substring(0, Math.max(0, content.size() - 3))));
        return names.size();
    }

    long writeCount() {
        return writeCount;
    }

    long writtenBytes() {
        return writtenBytes;
    }

    long readCount() {
        return readCount;
    }

    int rowCount() {
        return rows.size();
    }
}
