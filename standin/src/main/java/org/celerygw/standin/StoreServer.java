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
 * Serves a {@link MemoryTable}, a {@link MemoryObjects}, the host list and the weight store over HTTP in the wire format
 * of docs/WIRE.md. Injects the faults of the table and the objects; when a fault loses a response, the connection closes
 * instead.
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
    private StandinHttpServer http;
    private long weightsIdleAtMs;

    private StoreServer(StoreOptions options) {
        this.options = options;
    }

    /**
     * Starts a store on loopback.
     *
     * @param vertx the Vert.x instance that runs the store
     * @param options the store's settings
     * @return a future that completes with the store once it listens
     */
    public static Future<StoreServer> start(Vertx vertx, StoreOptions options) {
        StoreServer store = new StoreServer(options);
        return StandinHttpServer.start(vertx, options.port(), store.faults, store::handle)
                .map(http -> {
                    store.http = http;
                    return store;
                });
    }

    /**
     * Returns the port that the store listens on.
     *
     * @return the actual port, also if any free port was requested
     */
    public int port() {
        return http.port();
    }

    /**
     * Returns the base URI that clients use.
     *
     * @return an http URI without a path
     */
    public String uri() {
        return "http://127.0.0.1:" + port();
    }

    /**
     * Returns the faults that the store injects, to be changed by the caller.
     *
     * @return the store's faults
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns the table that the store serves.
     *
     * @return the in-memory table
     */
    public MemoryTable table() {
        return table;
    }

    /**
     * Returns the objects that the store serves.
     *
     * @return the in-memory object store
     */
    public MemoryObjects objects() {
        return objects;
    }

    /** Stops all responses on the connections that are open now; new connections work. */
    public void silenceConnections() {
        http.silenceOpenConnections();
    }

    /**
     * Stops the store.
     *
     * @return a future that completes once the port is free
     */
    public Future<Void> close() {
        return http.close();
    }

    private void execute(Runnable task) {
        http.execute(task);
    }

    private void handle(Exchange exchange) {
        try {
            route(exchange);
        } catch (InvalidProtocolBufferException e) {
            exchange.replyError(400, "malformed_body");
        }
    }

    private void route(Exchange exchange) throws InvalidProtocolBufferException {
        String path = exchange.path();
        switch (path) {
            case "/table/write" -> write(exchange, WriteRequest.parseFrom(bodyBytes(exchange)));
            case "/table/read" -> read(exchange, ReadRequest.parseFrom(bodyBytes(exchange)));
            case "/table/scan" -> scan(exchange, ScanRequest.parseFrom(bodyBytes(exchange)));
            case "/hosts" -> listHosts(exchange);
            default -> routeByPrefix(exchange, path);
        }
    }

    private void routeByPrefix(Exchange exchange, String path) throws InvalidProtocolBufferException {
        if (path.startsWith("/objects/")) {
            handleObject(exchange, path.substring(OBJECT_NAME_START));
        } else if (path.startsWith("/hosts/")) {
            handleHostChange(exchange, path.substring(HOST_ID_START));
        } else if (path.startsWith("/weights/")) {
            handleWeights(exchange);
        } else {
            exchange.replyError(404, "not_found");
        }
    }

    private void write(Exchange exchange, WriteRequest request) {
        List<Txn.Condition> conditions = request.getConditionsList().stream()
                .map(condition -> new Txn.Condition(condition.getKey(), condition.getVersion()))
                .toList();
        List<Txn.Change> changes = request.getChangesList().stream()
                .map(change -> new Txn.Change(change.getKey(), change.getValue(), change.getDelete()))
                .toList();
        table.write(new Txn(conditions, changes), result -> reply(exchange, result));
    }

    private static void reply(Exchange exchange, TxnResult result) {
        WriteReply.Builder reply = WriteReply.newBuilder();
        switch (result.status()) {
            case COMMITTED -> reply.setStatus(WriteReply.Status.COMMITTED);
            case CONFLICT -> reply.setStatus(WriteReply.Status.CONFLICT).addAllFound(rows(result.currentRows()));
            case UNKNOWN -> {
                exchange.closeConnection();
                return;
            }
        }
        send(exchange, reply.build());
    }

    private void read(Exchange exchange, ReadRequest request) {
        table.read(request.getKeysList(), result -> reply(exchange, result));
    }

    private void scan(Exchange exchange, ScanRequest request) {
        int limit = Math.min(Math.max(request.getLimit(), 1), MAX_SCAN_ROWS);
        table.scan(request.getPrefix(), request.getAfterKey(), limit, result -> reply(exchange, result));
    }

    private static void reply(Exchange exchange, Table.ReadResult result) {
        if (!result.ok()) {
            exchange.closeConnection();
            return;
        }
        send(
                exchange,
                RowsReply.newBuilder()
                        .addAllRows(rows(result.rows()))
                        .setComplete(true)
                        .build());
    }

    private void handleObject(Exchange exchange, String name) {
        if (exchange.hasMethod(HttpMethod.PUT)) {
            objects.put(name, bodyBytes(exchange), succeeded -> reply(exchange, succeeded));
        } else if (exchange.hasMethod(HttpMethod.DELETE)) {
            objects.delete(name, succeeded -> reply(exchange, succeeded));
        } else {
            objects.get(name, result -> reply(exchange, result));
        }
    }

    private static void reply(Exchange exchange, boolean succeeded) {
        if (!succeeded) {
            exchange.closeConnection();
            return;
        }
        exchange.reply(200, PROTOBUF, Buffer.buffer());
    }

    private static void reply(Exchange exchange, ObjectStore.GetResult result) {
        switch (result.status()) {
            case FOUND ->
                exchange.reply(
                        200,
                        "application/octet-stream",
                        Buffer.buffer(result.content().toByteArray()));
            case ABSENT -> exchange.replyError(404, "not_found");
            case UNAVAILABLE -> exchange.closeConnection();
        }
    }

    private void listHosts(Exchange exchange) {
        if (faults.consume(Fault.DOWN)) {
            exchange.closeConnection();
            return;
        }
        send(
                exchange,
                HostListReply.newBuilder()
                        .addAllHosts(hosts.values())
                        .setComplete(true)
                        .build());
    }

    /** Adds, replaces or removes a host; readers see the change only after the host list's lag. */
    private void handleHostChange(Exchange exchange, String id) throws InvalidProtocolBufferException {
        HostEntry entry =
                HostEntry.parseFrom(bodyBytes(exchange)).toBuilder().setId(id).build();
        boolean remove = exchange.hasMethod(HttpMethod.DELETE);
        http.executeAfter(options.hostListLagMs(), () -> {
            if (remove) {
                hosts.remove(id);
            } else {
                hosts.put(id, entry);
            }
        });
        exchange.reply(200, PROTOBUF, Buffer.buffer());
    }

    /** Serves one reader at a time at the full rate; the others wait in the order of their requests. */
    private void handleWeights(Exchange exchange) {
        long nowMs = System.currentTimeMillis();
        long durationMs = options.weightBytes() * 1000 / options.weightBytesPerS();
        weightsIdleAtMs = Math.max(weightsIdleAtMs, nowMs) + durationMs;
        Buffer weights = Buffer.buffer(new byte[(int) options.weightBytes()]);
        http.executeAfter(weightsIdleAtMs - nowMs, () -> exchange.reply(200, "application/octet-stream", weights));
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

    private static ByteString bodyBytes(Exchange exchange) {
        return ByteString.copyFrom(exchange.body().getBytes());
    }

    private static void send(Exchange exchange, MessageLite reply) {
        exchange.reply(200, PROTOBUF, Buffer.buffer(reply.toByteArray()));
    }
}
