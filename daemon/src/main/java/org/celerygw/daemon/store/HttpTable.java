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

/** The platform's table over HTTP. */
final class HttpTable implements Table {
    private final StoreClient client;

    HttpTable(StoreClient client) {
        this.client = client;
    }

    @Override
    public void write(Txn txn, Consumer<TxnResult> done) {
        WriteRequest.Builder request = WriteRequest.newBuilder();
        txn.conditions()
                .forEach(c -> request.addConditions(
                        WriteCondition.newBuilder().setKey(c.key()).setVersion(c.version())));
        txn.changes()
                .forEach(c -> request.addChanges(WriteChange.newBuilder()
                        .setKey(c.key())
                        .setValue(c.value())
                        .setDelete(c.delete())));
        client.post("/table/write", request.build(), reply -> done.accept(result(reply)));
    }

    @Override
    public void read(List<String> keys, Consumer<ReadResult> done) {
        ReadRequest request = ReadRequest.newBuilder().addAllKeys(keys).build();
        int expected = request.getKeysCount();
        client.post("/table/read", request, reply -> {
            ReadResult answer = answer(reply);
            done.accept(answer.rows().size() == expected ? answer : ReadResult.FAILED);
        });
    }

    @Override
    public void scan(String prefix, String afterKey, int limit, Consumer<ReadResult> done) {
        ScanRequest request = ScanRequest.newBuilder()
                .setPrefix(prefix)
                .setAfterKey(afterKey)
                .setLimit(limit)
                .build();
        client.post("/table/scan", request, reply -> done.accept(answer(reply)));
    }

    private static TxnResult result(HttpResult reply) {
        WriteReply read = StoreClient.parse(reply, WriteReply.parser(), WriteReply.getDefaultInstance());
        return switch (read.getStatus()) {
            case COMMITTED -> TxnResult.COMMITTED;
            case CONFLICT -> TxnResult.conflict(rows(read.getFoundList()));
            case UNSPECIFIED, UNRECOGNIZED -> TxnResult.UNKNOWN;
        };
    }

    private static ReadResult answer(HttpResult reply) {
        RowsReply read = StoreClient.parse(reply, RowsReply.parser(), RowsReply.getDefaultInstance());
        return read.getComplete() ? new ReadResult(true, rows(read.getRowsList())) : ReadResult.FAILED;
    }

    private static List<Row> rows(List<TableRow> rows) {
        return rows.stream()
                .map(row -> new Row(row.getKey(), row.getVersion(), row.getValue()))
                .toList();
    }
}
