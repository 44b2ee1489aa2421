package org.celerygw.core.turns;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.time.Clock;

/**
 * Removes programs whose time is over. Any host may do it at any time: rows point to programs by time, and each removal
 * depends on the version of the program's row, so a program that is still used stays.
 */
public final class Cleaner {
    private static final long SLACK_MS = 30_000;
    private static final int MOST_PROGRAMS = 50;
    private static final int MOST_ROWS = 500;
    private static final int MOST_CHANGES = 90;

    private final List<Table> partitions;
    private final Clock clock;
    private int next;

    /**
     * Makes a cleaner.
     *
     * @param partitions the store's partitions
     * @param clock tells the time
     * @param first the partition to begin with; best another one on each host
     */
    public Cleaner(List<Table> partitions, Clock clock, int first) {
        this.partitions = List.copyOf(partitions);
        this.clock = clock;
        this.next = first;
    }

    /** Cleans one partition, another one each time; to be called every half a minute or so. */
    public void step() {
        Table table = partitions.get(Math.floorMod(next++, partitions.size()));
        table.scan(Keys.EXPIRIES, "", MOST_PROGRAMS, answer -> answer.rows().stream()
                .map(Row::key)
                .filter(key -> Keys.expiryMs(key) + SLACK_MS < clock.nowMs())
                .forEach(key -> clean(table, key)));
    }

    private void clean(Table table, String expiryKey) {
        String program = Keys.expiringProgram(expiryKey);
        table.scan(Keys.rows(program), "", MOST_ROWS, answer -> {
            if (answer.ok()) {
                remove(table, expiryKey, program, answer.rows());
            }
        });
    }

    private void remove(Table table, String expiryKey, String program, List<Row> rows) {
        String key = Keys.program(program);
        Row row = rows.stream().filter(r -> r.key().equals(key)).findFirst().orElse(Row.absent(key));
        Txn.Condition unchanged = new Txn.Condition(key, row.version());
        List<Txn.Change> changes = new ArrayList<>();
        changes.add(Txn.Change.remove(expiryKey));
        long keepUntilMs = row.exists() ? Budget.parse(row.value()).keepUntilMs() : 0;
        if (keepUntilMs + SLACK_MS >= clock.nowMs()) {
            changes.add(Txn.Change.put(Keys.expiry(keepUntilMs, program), ByteString.EMPTY));
            table.write(new Txn(List.of(unchanged), changes), result -> {});
            return;
        }
        TreeSet<String> removed = new TreeSet<>();
        String start = Keys.rows(program) + "t/";
        rows.stream().map(Row::key).filter(k -> k.startsWith(start)).forEach(k -> {
            removed.add(k);
            removed.add(Keys.index(k.substring(start.length(), k.lastIndexOf('/'))));
        });
        if (removed.size() <= MOST_CHANGES) {
            removed.add(key);
            removed.forEach(k -> changes.add(Txn.Change.remove(k)));
        } else {
            // Too much for one transaction: the rest goes another time, the program's row last.
            changes.clear();
            removed.stream().limit(MOST_CHANGES).forEach(k -> changes.add(Txn.Change.remove(k)));
        }
        table.write(new Txn(List.of(unchanged), changes), result -> {});
    }
}
