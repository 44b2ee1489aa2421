package org.celerygw.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.time.Clock;

/** A table that counts its calls, and measures how long the store takes to answer them. */
final class MeteredTable implements Table {
    private final Table table;
    private final Clock clock;
    private final Meter meter;

    /** Hears of each call that has ended. */
    @FunctionalInterface
    interface Meter {
        /** Takes the call's kind, how it ended, and how long that took in ms. */
        void ended(String kind, String outcome, long tookMs);
    }

    MeteredTable(Table table, Clock clock, Meter meter) {
        this.table = table;
        this.clock = clock;
        this.meter = meter;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        long sinceMs = clock.nowMs();
        table.write(txn, result -> {
            String outcome =
                    switch (result.status()) {
                        case COMMITTED -> "committed";
                        case CONFLICT -> "conflict";
                        case UNKNOWN -> "unknown";
                    };
            meter.ended("write", outcome, clock.nowMs() - sinceMs);
            done.accept(result);
        });
    }

    @Override
    public void read(List<String> keys, Consumer<Answer> done) {
        table.read(keys, metered("read", done));
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<Answer> done) {
        table.scan(prefix, afterKey, limit, metered("scan", done));
    }

    private Consumer<Answer> metered(String kind, Consumer<Answer> done) {
        long sinceMs = clock.nowMs();
        return answer -> {
            meter.ended(kind, answer.ok() ? "answered" : "failed", clock.nowMs() - sinceMs);
            done.accept(answer);
        };
    }
}
