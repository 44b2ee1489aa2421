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

/** Converts rows, transactions and their results to and from the messages exchanged between hosts. */
final class RowCodec {
    private RowCodec() {}

    static TableRow encodeRow(Row row) {
        return TableRow.newBuilder()
                .setKey(row.key())
                .setVersion(row.version())
                .setValue(row.value())
                .build();
    }

    static List<Row> decodeRows(List<TableRow> rows) {
        return rows.stream()
                .map(r -> new Row(r.getKey(), r.getVersion(), r.getValue()))
                .toList();
    }

    static WriteRequest encodeTxn(Txn txn) {
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

    static Txn decodeTxn(WriteRequest request) {
        return new Txn(
                request.getConditionsList().stream()
                        .map(c -> new Txn.Condition(c.getKey(), c.getVersion()))
                        .toList(),
                request.getChangesList().stream()
                        .map(c -> new Txn.Change(c.getKey(), c.getValue(), c.getDelete()))
                        .toList());
    }

    /** Encodes a result; empty when it is unknown whether the transaction took effect. */
    static Optional<WriteReply> encodeResult(TxnResult result) {
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
                        .addAllFound(result.currentRows().stream()
                                .map(RowCodec::encodeRow)
                                .toList())
                        .build());
        };
    }

    /** Decodes a reply; the result is UNKNOWN without a reply or with an unknown status. */
    static TxnResult decodeResult(Optional<WriteReply> reply) {
        return reply.map(r -> switch (r.getStatus()) {
                    case COMMITTED -> TxnResult.committed(r.getVersion());
                    case CONFLICT -> TxnResult.conflict(decodeRows(r.getFoundList()));
                    default -> TxnResult.UNKNOWN;
                })
                .orElse(TxnResult.UNKNOWN);
    }
}
