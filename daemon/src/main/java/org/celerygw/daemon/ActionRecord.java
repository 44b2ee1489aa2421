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

/** The lasting record of what operators did, one row an action, the newest first in key order. */
final class ActionRecord {
    private static final String PREFIX = "action/";
    private static final int MAX_TRIES = 3;

    private final Table table;

    ActionRecord(Table table) {
        this.table = table;
    }

    /** Writes an action; done when it is durable. */
    Future<Void> write(Action action) {
        String key = PREFIX + String.format(java.util.Locale.ROOT, "%019d", Long.MAX_VALUE - action.getAtMs()) + "-"
                + UUID.randomUUID();
        Txn txn = new Txn(List.of(new Txn.Condition(key, 0)), List.of(Txn.Change.put(key, action.toByteString())));
        Promise<Void> done = Promise.promise();
        attempt(txn, 1, done);
        return done.future();
    }

    private void attempt(Txn txn, int tries, Promise<Void> done) {
        table.write(txn, result -> {
            // The key is unique, so a conflict can only be an earlier try of this very write.
            if (result.status() != TxnResult.Status.UNKNOWN) {
                done.complete();
            } else if (tries < MAX_TRIES) {
                attempt(txn, tries + 1, done);
            } else {
                done.fail(new GatewayException(ErrorCode.STORE_UNAVAILABLE, "The action could not be recorded."));
            }
        });
    }

    /** Reads the newest actions. */
    Future<List<Action>> read(int limit) {
        Promise<List<Action>> done = Promise.promise();
        table.scan(PREFIX, "", limit, answer -> {
            if (answer.ok()) {
                done.complete(answer.rows().stream().map(ActionRecord::parse).toList());
            } else {
                done.fail(new GatewayException(ErrorCode.STORE_UNAVAILABLE, "The record of actions can't be read."));
            }
        });
        return done.future();
    }

    private static Action parse(Row row) {
        try {
            return Action.parseFrom(row.value());
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.DAMAGED, "The record of an action is unreadable.");
        }
    }
}
