package org.celerygw.daemon.store;

import java.util.List;
import java.util.function.Consumer;
import org.celerygw.core.gen.store.ReadRequest;
import org.celerygw.core.gen.store.RowsReply;
import org.celerygw.core.gen.store.ScanRequest;
import org.celerygw.core.gen.store.TableRow;
import org.celerygw.core.gen.store.WriteChange;
import org.celerygw.core.gen.store.WriteCondition;
import org.celerygw.core.gen.store.WriteReply;
import org.celerygw.core.gen.store.WriteRequest;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;
import org.celerygw.daemon.client.HttpResult;

/** Client of the platform's transactional table over HTTP, with protobuf bodies. */
final class HttpTable implements Table {
    private final StoreClient client;

    HttpTable(StoreClient client) {
        this.client = client;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> callback) {
        WriteRequest.Builder request = WriteRequest.newBuilder();
        txn.conditions()
                .forEach(c -> request.addConditions(
                        WriteCondition.newBuilder().setKey(c.key()).setVersion(c.version())));
        txn.changes()
                .forEach(c -> request.addChanges(WriteChange.newBuilder()
                        .setKey(c.key())
                        .setValue(c.value())
                        .setDelete(c.delete())));
        client.post("/table/write", request.build(), result -> callback.accept(toTxnResult(result)));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> callback) {
        ReadRequest request = ReadRequest.newBuilder().addAllKeys(keys).build();
        int expectedRows = request.getKeysCount();
        client.post("/table/read", request, result -> {
            ReadResult readResult = toReadResult(result);
            callback.accept(readResult.rows().size() == expectedRows ? readResult : ReadResult.FAILED);
        });
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> callback) {
        ScanRequest request = ScanRequest.newBuilder()
                .setPrefix(prefix)
                .setAfterKey(afterKey)
                .setLimit(limit)
                .build();
        client.post("/table/scan", request, result -> callback.accept(toReadResult(result)));
    }

    private static TxnResult toTxnResult(HttpResult result) {
        WriteReply writeReply = StoreClient.parse(result, WriteReply.parser(), WriteReply.getDefaultInstance());
        return switch (writeReply.getStatus()) {
            case COMMITTED -> TxnResult.COMMITTED;
            case CONFLICT -> TxnResult.conflict(toRows(writeReply.getFoundList()));
            case UNSPECIFIED, UNRECOGNIZED -> TxnResult.UNKNOWN;
        };
    }

    private static ReadResult toReadResult(HttpResult result) {
        RowsReply rowsReply = StoreClient.parse(result, RowsReply.parser(), RowsReply.getDefaultInstance());
        return rowsReply.getComplete() ? new ReadResult(true, toRows(rowsReply.getRowsList())) : ReadResult.FAILED;
    }

    private static List<Row> toRows(List<TableRow> rows) {
        return rows.stream()
                .map(row -> new Row(row.getKey(), row.getVersion(), row.getValue()))
                .toList();
    }
}
