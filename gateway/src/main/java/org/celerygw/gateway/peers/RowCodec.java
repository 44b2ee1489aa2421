package org.celerygw.gateway.peers;

import java.util.List;
import java.util.Optional;
import org.celerygw.core.gen.store.TableRow;
import org.celerygw.core.gen.store.WriteChange;
import org.celerygw.core.gen.store.WriteCondition;
import org.celerygw.core.gen.store.WriteReply;
import org.celerygw.core.gen.store.WriteRequest;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/** Rows and transactions as messages between hosts. */
final class RowCodec {
    private RowCodec() {}

    static TableRow row(Row row) {
        return TableRow.newBuilder()
                .setKey(row.key())
                .setVersion(row.version())
                .setValue(row.value())
                .build();
    }

    static List<Row> rows(List<TableRow> rows) {
        return rows.stream()
                .map(r -> new Row(r.getKey(), r.getVersion(), r.getValue()))
                .toList();
    }

    static WriteRequest request(Txn txn) {
        WriteRequest.Builder request = WriteRequest.newBuilder();
        txn.conditions()
                .forEach(c -> request.addConditions(
                        WriteCondition.newBuilder().setKey(c.key()).setVersion(c.version())));
        txn.changes()
                .forEach(c -> request.addChanges(WriteChange.newBuilder()
                        .setKey(c.key())
                        .setValue(c.value())
                        .setDelete(c.delete())));
        return request.build();
    }

    static Txn txn(WriteRequest request) {
        return new Txn(
                request.getConditionsList().stream()
                        .map(c -> new Txn.Condition(c.getKey(), c.getVersion()))
                        .toList(),
                request.getChangesList().stream()
                        .map(c -> new Txn.Change(c.getKey(), c.getValue(), c.getDelete()))
                        .toList());
    }

    /** Returns the reply for a result; nothing when its effect is not known. */
    static Optional<WriteReply> reply(TxnResult result) {
        return switch (result.status()) {
            case UNKNOWN -> Optional.empty();
            case COMMITTED ->
                Optional.of(WriteReply.newBuilder()
                        .setStatus(WriteReply.Status.COMMITTED)
                        .setVersion(result.version())
                        .build());
            case CONFLICT ->
                Optional.of(WriteReply.newBuilder()
                        .setStatus(WriteReply.Status.CONFLICT)
                        .addAllFound(result.found().stream().map(RowCodec::row).toList())
                        .build());
        };
    }

    static TxnResult result(Optional<WriteReply> reply) {
        return reply.map(r -> switch (r.getStatus()) {
                    case COMMITTED -> TxnResult.committed(r.getVersion());
                    case CONFLICT -> TxnResult.conflict(rows(r.getFoundList()));
                    default -> TxnResult.UNKNOWN;
                })
                .orElse(TxnResult.UNKNOWN);
    }
}
