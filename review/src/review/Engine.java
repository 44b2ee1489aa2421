package review;

import java.io.IOException;
import java.util.function.BooleanSupplier;

/** A backend server: registers itself in the store, answers requests, and may be killed and started again. */
final class Engine {
    static final long HEARTBEAT_MS = 1_200;

    interface Behaviour {
        /** Runs a request that is meant for this engine; returns false to close the connection. */
        boolean run(Engine engine, Http.Message request, Http.Connection connection)
                throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    final String ip;
    final int port;
    final String zone;
    final int slots;
    volatile String version = "v1";
    volatile long born;
    volatile boolean up;
    private final Store store;
    private final Http.Server server;
    private int sequence;

    /** Whether reports of this engine reach the store. */
    volatile BooleanSupplier reaches = () -> true;

    Engine(Store store, String id, String service, String ip, int port, String zone, int slots, Behaviour behaviour)
            throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.port = port;
        this.zone = zone;
        this.slots = slots;
        server = new Http.Server(ip, port, (request, connection) -> {
            String expected = request.header("Celerygw-Expect-Instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                connection.respond(
                        421,
                        "Celerygw-Attempt-Id: " + request.header("Celerygw-Attempt-Id") + "\r\nCelerygw-Instance-Id: "
                                + id + "\r\n",
                        new byte[0]);
                return true;
            }
            return behaviour.run(this, request, connection);
        });
        begin();
        Http.daemon(this::beat);
    }

    private void begin() {
        born = System.currentTimeMillis();
        sequence = 0;
        up = true;
        register();
    }

    private void beat() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MS);
                if (up) {
                    register();
                }
            }
        } catch (InterruptedException e) {
            // Ends.
        }
    }

    synchronized void register() {
        if (reaches.getAsBoolean()) {
            store.put(
                    "servers",
                    id,
                    "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"" + version + "\",\"slots\":" + slots
                            + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                            + "\"version\":1,\"adapters\":[]}],\"sequence\":" + (++sequence) + ",\"born\":" + born + "}");
        }
    }

    /** Ends at once, and starts again after the given time as another incarnation with the same id. */
    void crash(long downMs) {
        up = false;
        server.kill();
        Http.daemon(() -> {
            try {
                Thread.sleep(downMs);
                server.listen();
                begin();
            } catch (IOException | InterruptedException e) {
                System.out.println("an engine did not come back: " + e);
            }
        });
    }

    /** Returns the headers of a success. */
    static String headers(Http.Message request) {
        return "Celerygw-Attempt-Id: " + request.header("Celerygw-Attempt-Id")
                + "\r\nCelerygw-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nCelerygw-Weight-Versions: 1\r\n";
    }

    /** Begins a stream of events. */
    static void beginStream(Http.Message request, Http.Connection connection, String more) throws IOException {
        connection.send("HTTP/1.1 200 OK\r\n" + headers(request) + more
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static String event(long id, String data) {
        return "id: " + id + "\ndata: " + data + "\n\n";
    }
}
