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
 * Removes the rows of programs whose retention has expired. Every host may run it at any time, also concurrently:
 * expiry rows list the programs by the time at which they may be removed, and each removal is conditional on the
 * version of the program's row, so a program that is still in use stays.
 */
public final class ExpiredProgramCleaner {
    private static final long EXPIRY_GRACE_MS = 30_000;
    private static final int MAX_PROGRAMS_PER_SCAN = 50;
    private static final int MAX_ROWS_PER_SCAN = 500;
    private static final int MAX_REMOVALS_PER_TXN = 90;

    private final List<Table> partitions;
    private final Clock clock;
    private int nextPartition;

    /**
     * Creates a cleaner.
     *
     * @param partitions the store's partitions
     * @param clock the source of the current time
     * @param firstPartition number of the partition to clean first, taken modulo their count; should differ between
     *     hosts to spread the work
     */
    public ExpiredProgramCleaner(List<Table> partitions, Clock clock, int firstPartition) {
        this.partitions = List.copyOf(partitions);
        this.clock = clock;
        this.nextPartition = firstPartition;
    }

    /** Cleans the next partition in round-robin order; should be called about every 30 seconds. */
    public void cleanNextPartition() {
        Table table = partitions.get(Math.floorMod(nextPartition++, partitions.size()));
        table.scan(ProgramRowKeys.EXPIRY_PREFIX, "", MAX_PROGRAMS_PER_SCAN, result -> result.rows().stream()
                .map(Row::key)
                .filter(ProgramRowKeys::isExpiryRow)
                .filter(key -> ProgramRowKeys.expiryMs(key) + EXPIRY_GRACE_MS < clock.nowMs())
                .forEach(key -> cleanProgram(table, key)));
    }

    private void cleanProgram(Table table, String expiryKey) {
        String program = ProgramRowKeys.expiryProgram(expiryKey);
        table.scan(ProgramRowKeys.programPrefix(program), "", MAX_ROWS_PER_SCAN, result -> {
            if (result.ok()) {
                removeIfExpired(table, expiryKey, program, result.rows());
            }
        });
    }

    private void removeIfExpired(Table table, String expiryKey, String program, List<Row> rows) {
        String key = ProgramRowKeys.programRow(program);
        Row programRow =
                rows.stream().filter(r -> r.key().equals(key)).findFirst().orElse(Row.absent(key));
        Txn.Condition unchanged = new Txn.Condition(key, programRow.version());
        List<Txn.Change> changes = new ArrayList<>();
        changes.add(Txn.Change.remove(expiryKey));
        long keepUntilMs = Budget.parse(programRow).keepUntilMs();
        if (keepUntilMs + EXPIRY_GRACE_MS >= clock.nowMs()) {
            changes.add(Txn.Change.put(ProgramRowKeys.expiryRow(keepUntilMs, program), ByteString.EMPTY));
            table.write(new Txn(List.of(unchanged), changes), result -> {});
            return;
        }
        TreeSet<String> keysToRemove = new TreeSet<>();
        String turnPrefix = ProgramRowKeys.programPrefix(program) + "t/";
        rows.stream().map(Row::key).filter(k -> k.startsWith(turnPrefix)).forEach(k -> {
            keysToRemove.add(k);
            keysToRemove.add(ProgramRowKeys.turnIndexRow(k.substring(turnPrefix.length(), k.lastIndexOf('/'))));
        });
        rows.stream()
                .map(Row::key)
                .filter(k -> ProgramRowKeys.isStreamRow(program, k))
                .forEach(keysToRemove::add);
        if (keysToRemove.size() <= MAX_REMOVALS_PER_TXN) {
            keysToRemove.add(key);
            keysToRemove.forEach(k -> changes.add(Txn.Change.remove(k)));
        } else {
            // Too many rows for one transaction: remove some of them now. The expiry row and the program's row stay, so
            // that later calls remove the rest, the program's row last.
            changes.clear();
            keysToRemove.stream().limit(MAX_REMOVALS_PER_TXN).forEach(k -> changes.add(Txn.Change.remove(k)));
        }
        table.write(new Txn(List.of(unchanged), changes), result -> {});
    }
}
