package org.celerygw.core.config;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.gen.fleet.ConfigHead;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.jspecify.annotations.Nullable;

/**
 * One proposal on its way into the store. The write is conditional, so it is safe to send again when its answer was
 * lost: a second attempt either takes effect or finds the first one's row by its write id.
 */
final class Acceptance {
    static final String HEAD = "config/head";

    private final Table table;
    private final AcceptedConfig proposed;
    private final long deadlineMs;
    private final long retryMs;
    private final Consumer<AcceptResult> done;
    private @Nullable Txn txn;
    private boolean mayHaveRun;
    private boolean conflicting;
    private boolean waiting;
    private boolean ended;
    private long nextTryMs;

    Acceptance(Table table, AcceptedConfig proposed, long deadlineMs, long retryMs, Consumer<AcceptResult> done) {
        this.table = table;
        this.proposed = proposed;
        this.deadlineMs = deadlineMs;
        this.retryMs = retryMs;
        this.done = done;
    }

    static String key(long version) {
        return "config/v/" + version;
    }

    static long headVersion(Row row) {
        try {
            return ConfigHead.parseFrom(row.value()).getVersion();
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.DAMAGED, "the row config/head is unreadable");
        }
    }

    boolean ended() {
        return ended;
    }

    /** Takes the next step when one is due; gives up at the deadline with what is known. */
    void tick(long nowMs) {
        if (ended || (!waiting && nowMs < nextTryMs)) {
            return;
        }
        if (nowMs >= deadlineMs) {
            end(AcceptResult.of(atDeadline()));
            return;
        }
        if (waiting) {
            return;
        }
        waiting = true;
        nextTryMs = nowMs + retryMs;
        if (txn == null) {
            table.read(List.of(HEAD), this::headRead);
        } else {
            write(txn);
        }
    }

    private AcceptResult.Status atDeadline() {
        if (conflicting) {
            return AcceptResult.Status.CONFLICT;
        }
        return mayHaveRun ? AcceptResult.Status.UNKNOWN : AcceptResult.Status.UNAVAILABLE;
    }

    private void headRead(Table.Answer answer) {
        waiting = false;
        if (ended || !answer.ok()) {
            return;
        }
        Row head = answer.rows().get(0);
        long current = headVersion(head);
        if (current != proposed.version() - 1) {
            conflict(current);
            return;
        }
        txn = txn(head);
        waiting = true;
        write(txn);
    }

    private Txn txn(Row head) {
        ByteString newHead =
                ConfigHead.newBuilder().setVersion(proposed.version()).build().toByteString();
        return new Txn(
                List.of(new Txn.Condition(HEAD, head.version()), new Txn.Condition(key(proposed.version()), 0)),
                List.of(Txn.Change.put(HEAD, newHead), Txn.Change.put(key(proposed.version()), proposed.toBytes())));
    }

    private void write(Txn write) {
        // From here on its silence proves nothing.
        mayHaveRun = true;
        table.write(write, result -> {
            waiting = false;
            if (!ended) {
                written(result);
            }
        });
    }

    private void written(TxnResult result) {
        switch (result.status()) {
            case COMMITTED -> end(AcceptResult.of(AcceptResult.Status.ACCEPTED, proposed));
            case UNKNOWN -> {
                // Asked again at the next tick.
            }
            case CONFLICT -> found(result.found());
        }
    }

    private void found(List<Row> rows) {
        boolean ours = rows.stream()
                .filter(r -> r.key().equals(key(proposed.version())) && r.exists())
                .anyMatch(r -> AcceptedConfig.parse(r.value()).writeId().equals(proposed.writeId()));
        if (ours) {
            end(AcceptResult.of(AcceptResult.Status.ACCEPTED, proposed));
            return;
        }
        conflict(rows.stream()
                .filter(r -> r.key().equals(HEAD))
                .mapToLong(Acceptance::headVersion)
                .findFirst()
                .orElse(proposed.version()));
    }

    /** Ends in a conflict that shows the version which stands instead, when it can be read. */
    private void conflict(long theirs) {
        if (theirs == 0) {
            end(AcceptResult.of(AcceptResult.Status.CONFLICT));
            return;
        }
        conflicting = true;
        waiting = true;
        table.read(List.of(key(theirs)), answer -> {
            boolean readable = answer.ok() && answer.rows().get(0).exists();
            end(AcceptResult.of(
                    AcceptResult.Status.CONFLICT,
                    readable ? AcceptedConfig.parse(answer.rows().get(0).value()) : null));
        });
    }

    private void end(AcceptResult result) {
        if (!ended) {
            ended = true;
            done.accept(result);
        }
    }
}
