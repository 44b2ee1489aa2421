package org.celerygw.daemon;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.UUID;
import org.celerygw.api.gen.operator.Action;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/** The durable audit log of operator actions: one row per action, with keys that sort the newest action first. */
final class AuditLog {
    private static final String KEY_PREFIX = "action/";
    private static final int MAX_ATTEMPTS = 3;

    private final Table table;

    AuditLog(Table table) {
        this.table = table;
    }

    /** Appends an action; the future completes when the row is durable. */
    Future<Void> append(Action action) {
        String key = KEY_PREFIX + String.format(java.util.Locale.ROOT, "%019d", Long.MAX_VALUE - action.getAtMs()) + "-"
                + UUID.randomUUID();
        Txn txn = new Txn(List.of(new Txn.Condition(key, 0)), List.of(Txn.Change.put(key, action.toByteString())));
        Promise<Void> promise = Promise.promise();
        tryWrite(txn, 1, promise);
        return promise.future();
    }

    private void tryWrite(Txn txn, int attempt, Promise<Void> promise) {
        table.write(txn, result -> {
            // The key is unique, so a conflict means that an earlier attempt of the same write succeeded.
            if (result.status() != TxnResult.Status.UNKNOWN) {
                promise.complete();
            } else if (attempt < MAX_ATTEMPTS) {
                tryWrite(txn, attempt + 1, promise);
            } else {
                promise.fail(new GatewayException(
                        ErrorCode.STORE_UNAVAILABLE,
                        "The action could not be written to the audit log: the store did not confirm the write."));
            }
        });
    }

    /** Reads up to {@code limit} actions, the newest first. */
    Future<List<Action>> readNewest(int limit) {
        Promise<List<Action>> promise = Promise.promise();
        table.scan(KEY_PREFIX, "", limit, result -> {
            if (result.ok()) {
                promise.complete(result.rows().stream().map(AuditLog::parse).toList());
            } else {
                promise.fail(new GatewayException(
                        ErrorCode.STORE_UNAVAILABLE, "The audit log could not be read from the store."));
            }
        });
        return promise.future();
    }

    private static Action parse(Row row) {
        try {
            return Action.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.DAMAGED, "A row of the audit log is not a valid action.");
        }
    }
}
