package org.celerygw.standin;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.celerygw.core.gen.store.HostEntry;
import org.celerygw.core.gen.store.HostListReply;
import org.celerygw.core.gen.store.ReadRequest;
import org.celerygw.core.gen.store.RowsReply;
import org.celerygw.core.gen.store.ScanRequest;
import org.celerygw.core.gen.store.TableRow;
import org.celerygw.core.gen.store.WriteReply;
import org.celerygw.core.gen.store.WriteRequest;
import org.celerygw.core.store.ObjectStore;
import org.celerygw.core.store.Row;
import org.celerygw.core.store.Table;
import org.celerygw.core.store.Txn;
import org.celerygw.core.store.TxnResult;

/**
 * Serves a {@link MemoryTable}, a {@link MemoryObjects}, the host list and the weight store over HTTP in the wire form
 * of docs/WIRE.md. Heeds their faults; an answer that a fault loses is not sent, the connection closes instead.
 */
public final class StoreServer {
    private static final String PROTOBUF = "application/x-protobuf";
    private static final int OBJECT_NAME_START = "/objects/".length();
    private static final int HOST_ID_START = "/hosts/".length();
    private static final int MAX_SCAN_ROWS = 1000;

    private final StoreOptions options;
    private final Faults faults = new Faults();
    private final MemoryTable table = new MemoryTable(this::execute, faults);
    private final MemoryObjects objects = new MemoryObjects(this::execute, faults);
    private final Map<String, HostEntry> hosts = new ConcurrentSkipListMap<>();
    private HttpFront front;
    private long weightsFreeAtMs;

    private StoreServer(StoreOptions options) {
        this.options = options;
    }

    /**
     * Starts a store on loopback.
     *
     * @param vertx runs it
     * @param options its settings
     * @return the store, once it listens
     */
    public static Future<StoreServer> start(Vertx vertx, StoreOptions options) {
        StoreServer store = new StoreServer(options);
        return HttpFront.start(vertx, options.port(), store.faults, store::handle)
                .map(front -> {
                    store.front = front;
                    return store;
                });
    }

    /**
     * Returns the port it listens on.
     *
     * @return the port
     */
    public int port() {
        return front.port();
    }

    /**
     * Returns the address for clients.
     *
     * @return an http URI
     */
    public String uri() {
        return "http://127.0.0.1:" + port();
    }

    /**
     * Returns the faults that it injects.
     *
     * @return its faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns the table that it serves.
     *
     * @return the table
     */
    public MemoryTable table() {
        return table;
    }

    /**
     * Returns the objects that it serves.
     *
     * @return the object store
     */
    public MemoryObjects objects() {
        return objects;
    }

    /** Makes every connection that is open now silent for good; new ones work. */
    public void silenceConnections() {
        front.silenceOpenConnections();
    }

    /**
     * Stops it.
     *
     * @return done once its port is free
     */
    public Future<Void> close() {
        return front.close();
    }

    private void execute(Runnable task) {
        front.execute(task);
    }

    private void handle(Exchange exchange) {
        try {
            route(exchange);
        } catch (InvalidProtocolBufferException e) {
            exchange.error(400, "malformed_body");
        }
    }

    private void route(Exchange exchange) throws InvalidProtocolBufferException {
        String path = exchange.path();
        switch (path) {
            case "/table/write" -> write(exchange, WriteRequest.parseFrom(bytes(exchange)));
            case "/table/read" -> read(exchange, ReadRequest.parseFrom(bytes(exchange)));
            case "/table/scan" -> scan(exchange, ScanRequest.parseFrom(bytes(exchange)));
            case "/hosts" -> listHosts(exchange);
            default -> routeByPrefix(exchange, path);
        }
    }

    private void routeByPrefix(Exchange exchange, String path) throws InvalidProtocolBufferException {
        if (path.startsWith("/objects/")) {
            object(exchange, path.substring(OBJECT_NAME_START));
        } else if (path.startsWith("/hosts/")) {
            changeHost(exchange, path.substring(HOST_ID_START));
        } else if (path.startsWith("/weights/")) {
            weights(exchange);
        } else {
            exchange.error(404, "not_found");
        }
    }

    private void write(Exchange exchange, WriteRequest request) {
        List<Txn.Condition> conditions = request.getConditionsList().stream()
                .map(c -> new Txn.Condition(c.getKey(), c.getVersion()))
                .toList();
        List<Txn.Change> changes = request.getChangesList().stream()
                .map(c -> new Txn.Change(c.getKey(), c.getValue(), c.getDelete()))
                .toList();
        table.write(new Txn(conditions, changes), result -> answer(exchange, result));
    }

    private static void answer(Exchange exchange, TxnResult result) {
        WriteReply.Builder reply = WriteReply.newBuilder();
        switch (result.status()) {
            case COMMITTED -> reply.setStatus(WriteReply.Status.COMMITTED);
            case CONFLICT -> reply.setStatus(WriteReply.Status.CONFLICT).addAllFound(rows(result.currentRows()));
            case UNKNOWN -> {
                exchange.drop();
                return;
            }
        }
        send(exchange, reply.build());
    }

    private void read(Exchange exchange, ReadRequest request) {
        table.read(request.getKeysList(), answer -> answer(exchange, answer));
    }

    private void scan(Exchange exchange, ScanRequest request) {
        int limit = Math.min(Math.max(request.getLimit(), 1), MAX_SCAN_ROWS);
        table.scan(request.getPrefix(), request.getAfterKey(), limit, answer -> answer(exchange, answer));
    }

    private static void answer(Exchange exchange, Table.ReadResult answer) {
        if (!answer.ok()) {
            exchange.drop();
            return;
        }
        send(
                exchange,
                RowsReply.newBuilder()
                        .addAllRows(rows(answer.rows()))
                        .setComplete(true)
                        .build());
    }

    private void object(Exchange exchange, String name) {
        if (exchange.is(HttpMethod.PUT)) {
            objects.put(name, bytes(exchange), done -> answer(exchange, done));
        } else if (exchange.is(HttpMethod.DELETE)) {
            objects.delete(name, done -> answer(exchange, done));
        } else {
            objects.get(name, fetched -> answer(exchange, fetched));
        }
    }

    private static void answer(Exchange exchange, boolean done) {
        if (!done) {
            exchange.drop();
            return;
        }
        exchange.reply(200, PROTOBUF, Buffer.buffer());
    }

    private static void answer(Exchange exchange, ObjectStore.GetResult fetched) {
        switch (fetched.status()) {
            case FOUND ->
                exchange.reply(
                        200,
                        "application/octet-stream",
                        Buffer.buffer(fetched.content().toByteArray()));
            case ABSENT -> exchange.error(404, "not_found");
            case UNAVAILABLE -> exchange.drop();
        }
    }

    private void listHosts(Exchange exchange) {
        if (faults.take(Fault.DOWN)) {
            exchange.drop();
            return;
        }
        send(
                exchange,
                HostListReply.newBuilder()
                        .addAllHosts(hosts.values())
                        .setComplete(true)
                        .build());
    }

    /** Readers see the change only after the list's lag. */
    private void changeHost(Exchange exchange, String id) throws InvalidProtocolBufferException {
        HostEntry entry =
                HostEntry.parseFrom(bytes(exchange)).toBuilder().setId(id).build();
        boolean remove = exchange.is(HttpMethod.DELETE);
        front.later(options.hostListLagMs(), () -> {
            if (remove) {
                hosts.remove(id);
            } else {
                hosts.put(id, entry);
            }
        });
        exchange.reply(200, PROTOBUF, Buffer.buffer());
    }

    /** One reader at a time gets the whole rate; the others wait for their turn. */
    private void weights(Exchange exchange) {
        long nowMs = System.currentTimeMillis();
        long takesMs = options.weightBytes() * 1000 / options.weightBytesPerS();
        weightsFreeAtMs = Math.max(weightsFreeAtMs, nowMs) + takesMs;
        Buffer weights = Buffer.buffer(new byte[(int) options.weightBytes()]);
        front.later(weightsFreeAtMs - nowMs, () -> exchange.reply(200, "application/octet-stream", weights));
    }

    private static List<TableRow> rows(List<Row> rows) {
        return rows.stream()
                .map(row -> TableRow.newBuilder()
                        .setKey(row.key())
                        .setVersion(row.version())
                        .setValue(row.value())
                        .build())
                .toList();
    }

    private static ByteString bytes(Exchange exchange) {
        return ByteString.copyFrom(exchange.body().getBytes());
    }

    private static void send(Exchange exchange, MessageLite reply) {
        exchange.reply(200, PROTOBUF, Buffer.buffer(reply.toByteArray()));
    }
}
