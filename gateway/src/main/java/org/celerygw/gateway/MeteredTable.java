package org.celerygw.gateway;

import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.core.time.Clock;

/** Decorates a table: reports the kind, outcome and duration of each call. */
final class MeteredTable implements Table {
    private final Table table;
    private final Clock clock;
    private final CallRecorder recorder;

    /** Receives the measurement of each completed call. */
    @FunctionalInterface
    interface CallRecorder {
        /**
         * Records one completed call.
         *
         * @param kind write, read or scan
         * @param outcome committed, conflict or unknown for a write; answered or failed for a read or scan
         * @param durationMs the time from the call to its result, in ms
         */
        void record(String kind, String outcome, long durationMs);
    }

    MeteredTable(Table table, Clock clock, CallRecorder recorder) {
        this.table = table;
        this.clock = clock;
        this.recorder = recorder;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        long startedAtMs = clock.nowMs();
        table.write(txn, result -> {
            String outcome =
                    switch (result.status()) {
                        case COMMITTED -> "committed";
                        case CONFLICT -> "conflict";
                        case UNKNOWN -> "unknown";
                    };
            recorder.record("write", outcome, clock.nowMs() - startedAtMs);
            callback.accept(result);
        });
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        table.read(keys, metered("read", callback));
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        table.scan(prefix, afterKey, limit, metered("scan", callback));
    }

    private Consumer<ReadResult> metered(String kind, Consumer<ReadResult> callback) {
        long startedAtMs = clock.nowMs();
        return answer -> {
            recorder.record(kind, answer.ok() ? "answered" : "failed", clock.nowMs() - startedAtMs);
            callback.accept(answer);
        };
    }
}
