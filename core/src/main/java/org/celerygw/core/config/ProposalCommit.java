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
 * Writes one proposal to the store. The write is conditional, so it can be repeated when its response was lost: the
 * second attempt either takes effect or finds the row of the first attempt, which it recognizes by the write id.
 */
final class ProposalCommit {
    static final String HEAD_KEY = "config/head";

    private final Table table;
    private final AcceptedConfig proposed;
    private final long deadlineMs;
    private final long retryIntervalMs;
    private final Consumer<ProposalResult> onComplete;
    private @Nullable Txn pendingTxn;
    private boolean mayHaveCommitted;
    private boolean conflictFound;
    private boolean storeCallInFlight;
    private boolean completed;
    private long nextAttemptAtMs;

    ProposalCommit(
            Table table,
            AcceptedConfig proposed,
            long deadlineMs,
            long retryIntervalMs,
            Consumer<ProposalResult> onComplete) {
        this.table = table;
        this.proposed = proposed;
        this.deadlineMs = deadlineMs;
        this.retryIntervalMs = retryIntervalMs;
        this.onComplete = onComplete;
    }

    static String versionKey(long version) {
        return "config/v/" + version;
    }

    static long headVersion(Row row) {
        try {
            return ConfigHead.parseFrom(row.value()).getVersion();
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(
                    ErrorCode.DAMAGED, "row config/head does not contain a valid configuration head");
        }
    }

    boolean completed() {
        return completed;
    }

    /** Sends the next store request if it is due. At the deadline, completes with the status that is known by then. */
    void tick(long nowMs) {
        if (completed || (!storeCallInFlight && nowMs < nextAttemptAtMs)) {
            return;
        }
        if (nowMs >= deadlineMs) {
            complete(ProposalResult.of(statusAtDeadline()));
            return;
        }
        if (storeCallInFlight) {
            return;
        }
        storeCallInFlight = true;
        nextAttemptAtMs = nowMs + retryIntervalMs;
        if (pendingTxn == null) {
            table.read(List.of(HEAD_KEY), this::onHeadRead);
        } else {
            write(pendingTxn);
        }
    }

    private ProposalResult.Status statusAtDeadline() {
        if (conflictFound) {
            return ProposalResult.Status.CONFLICT;
        }
        return mayHaveCommitted ? ProposalResult.Status.UNKNOWN : ProposalResult.Status.UNAVAILABLE;
    }

    private void onHeadRead(Table.ReadResult readResult) {
        storeCallInFlight = false;
        if (completed || !readResult.ok()) {
            return;
        }
        Row head = readResult.rows().get(0);
        long currentVersion = headVersion(head);
        if (currentVersion != proposed.version() - 1) {
            completeWithConflict(currentVersion);
            return;
        }
        pendingTxn = buildTxn(head);
        storeCallInFlight = true;
        write(pendingTxn);
    }

    private Txn buildTxn(Row head) {
        ByteString newHead =
                ConfigHead.newBuilder().setVersion(proposed.version()).build().toByteString();
        return new Txn(
                List.of(
                        new Txn.Condition(HEAD_KEY, head.version()),
                        new Txn.Condition(versionKey(proposed.version()), 0)),
                List.of(
                        Txn.Change.put(HEAD_KEY, newHead),
                        Txn.Change.put(versionKey(proposed.version()), proposed.toBytes())));
    }

    private void write(Txn txn) {
        // From here on the write may have taken effect even if no response arrives.
        mayHaveCommitted = true;
        table.write(txn, result -> {
            storeCallInFlight = false;
            if (!completed) {
                onWriteResult(result);
            }
        });
    }

    private void onWriteResult(TxnResult result) {
        switch (result.status()) {
            case COMMITTED -> complete(ProposalResult.of(ProposalResult.Status.ACCEPTED, proposed));
            case UNKNOWN -> {
                // The write is repeated by a later tick.
            }
            case CONFLICT -> onWriteConflict(result.currentRows());
        }
    }

    private void onWriteConflict(List<Row> rows) {
        boolean ownWrite = rows.stream()
                .filter(r -> r.key().equals(versionKey(proposed.version())) && r.exists())
                .anyMatch(r -> AcceptedConfig.parse(r.value()).writeId().equals(proposed.writeId()));
        if (ownWrite) {
            complete(ProposalResult.of(ProposalResult.Status.ACCEPTED, proposed));
            return;
        }
        completeWithConflict(rows.stream()
                .filter(r -> r.key().equals(HEAD_KEY))
                .mapToLong(ProposalCommit::headVersion)
                .findFirst()
                .orElse(proposed.version()));
    }

    /** Completes with a conflict and the competing version, if that version can be read. */
    private void completeWithConflict(long competingVersion) {
        if (competingVersion == 0) {
            complete(ProposalResult.of(ProposalResult.Status.CONFLICT));
            return;
        }
        conflictFound = true;
        storeCallInFlight = true;
        table.read(List.of(versionKey(competingVersion)), readResult -> {
            boolean readable = readResult.ok() && readResult.rows().get(0).exists();
            complete(ProposalResult.of(
                    ProposalResult.Status.CONFLICT,
                    readable ? AcceptedConfig.parse(readResult.rows().get(0).value()) : null));
        });
    }

    private void complete(ProposalResult result) {
        if (!completed) {
            completed = true;
            onComplete.accept(result);
        }
    }
}
