package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.celerygw.core.gen.peers.QuotaReply;
import org.celerygw.core.gen.peers.QuotaRequest;
import org.celerygw.core.limits.CustomerQuotas;
import org.celerygw.core.limits.QuotaBounds;
import org.celerygw.core.quarantine.Quarantine;
import org.celerygw.core.routes.ConfigFreshness;
import org.celerygw.core.routes.CustomerDirectory;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.celerygw.core.scheduling.EngineQueue;
import org.celerygw.core.scheduling.QueueLength;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.store.Table;
import org.celerygw.core.turns.ProgramStore;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.MonotonicClock;
import org.celerygw.gateway.net.HttpListener;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/** A host over loopback, with scripted backend servers and clients on raw sockets. */
abstract class ForwarderFixture {
    static final String SIGNED = "signed: x\r\n";
    static final int ENGINE_SLOTS = 8;
    /** The slots of an engine, and one request that waits in the engine for the next free slot. */
    static final int ENGINE_ROOM = ENGINE_SLOTS + 1;

    private MultiThreadIoEventLoopGroup group;
    EventLoop loop;
    HttpListener listener;
    Forwarder forwarder;
    ServerList servers;
    private List<Table> partitions;
    Faults storeFaults;
    final MonotonicClock clock = new MonotonicClock();
    private int hostCount;
    volatile RouteTable routes;
    ConfigFreshness freshness;
    private final List<AutoCloseable> open = new ArrayList<>();

    @BeforeClass
    public void startLoop() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
    }

    @AfterClass
    public void stopLoop() {
        var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @BeforeMethod
    public void start() throws InterruptedException {
        storeFaults = new Faults();
        partitions = IntStream.range(0, 4)
                .mapToObj(i -> (Table) new MemoryTable(loop, storeFaults))
                .toList();
        startHost();
    }

    /** Starts a host that knows nothing but what the store holds; servers must be added again. */
    void startHost() throws InterruptedException {
        Scheduler scheduler = (delayMs, task) -> {
            var unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
        OriginPools originPools = new OriginPools(loop, clock, "id");
        servers = new ServerList(originPools::remove);
        routes = routeTable(CustomerDirectory.EMPTY);
        freshness = new ConfigFreshness(5_000, false);
        ServerSelector serverSelector = new ServerSelector("z", server -> {});
        forwarder = new Forwarder(
                clock,
                scheduler,
                new TestDialect(),
                () -> routes,
                new Authenticator(freshness, () -> {}),
                servers,
                serverSelector,
                new EngineQueue(servers, serverSelector, service -> QueueLength.NONE, () -> 0.5),
                originPools,
                new ServerLinks(clock, scheduler, new TestDialect(), servers, originPools, PeerRoute.NONE),
                new ProgramStore(partitions, "host" + hostCount++, clock, scheduler, 60_000, 1_000_000),
                new Quarantine("host"),
                new CustomerQuotas("host", clock, scheduler, new QuotaBounds(5_000, 0.1, 0), new OnlyHost()),
                new RequestLog(new PrometheusRegistry()),
                () -> {},
                () -> {},
                256L << 20);
        CountDownLatch listening = new CountDownLatch(1);
        HttpListener.start(loop, clock, "127.0.0.1", 0, forwarder).onSuccess(l -> {
            listener = l;
            listening.countDown();
        });
        assertTrue(listening.await(5, TimeUnit.SECONDS));
    }

    @AfterMethod
    public void closeServers() throws Exception {
        for (AutoCloseable server : open) {
            server.close();
        }
        open.clear();
    }

    CompletableFuture<String> sendInBackground(String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return sendRequest(request);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                },
                task -> new Thread(task).start());
    }

    static RouteTable routeTable(CustomerDirectory customers) {
        return new RouteTable(
                1,
                List.of(
                        route("/safe/", RouteKind.SAFE, 2_000, false, false),
                        route("/unsafe/", RouteKind.UNSAFE, 2_000, false, false),
                        route("/short/", RouteKind.UNSAFE, 200, false, false),
                        route("/resume/", RouteKind.STREAMING, 2_000, true, false),
                        route("/stream/", RouteKind.STREAMING, 2_000, false, false),
                        route("/turn/", RouteKind.STREAMING, 2_000, false, true),
                        route("/kept/", RouteKind.STREAMING, 4_000, true, true)),
                List.of(new Service("s", 10, true, ENGINE_SLOTS, 3, 0)),
                new RouteTable.Limits(16_000, 100_000, 1_000, 10_000),
                customers);
    }

    static Route route(String prefix, RouteKind kind, long timeoutMs, boolean resumable, boolean storesTurns) {
        return new Route(
                prefix,
                "h",
                prefix,
                kind,
                List.of(new Route.Target("s", 1)),
                timeoutMs,
                100,
                0,
                2,
                false,
                resumable,
                storesTurns,
                60_000,
                false);
    }

    ScriptedServer startServer(ScriptedServer.Script script) throws IOException, InterruptedException {
        return startServer("v1", script);
    }

    ScriptedServer startServer(String softwareVersion, ScriptedServer.Script script)
            throws IOException, InterruptedException {
        ScriptedServer server = new ScriptedServer(script);
        open.add(server);
        register(server, softwareVersion);
        return server;
    }

    /** Adds a server to those that the host knows. */
    void register(ScriptedServer server, String softwareVersion) throws InterruptedException {
        CountDownLatch added = new CountDownLatch(1);
        loop.execute(() -> {
            String id = "i" + server.port();
            servers.put(new BackendServer(
                    id, "s", "127.0.0.1", server.port(), "z", softwareVersion, ENGINE_SLOTS, false, 1));
            added.countDown();
        });
        assertTrue(added.await(5, TimeUnit.SECONDS));
    }

    static String getRequest(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nleft-ms: 2000\r\n\r\n";
    }

    /** Sends a request and reads until the response is complete or the connection is closed. */
    String sendRequest(String request) throws IOException {
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.setSoTimeout(8_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder response = new StringBuilder();
            InputStream in = client.getInputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                response.append((char) b);
                if (isComplete(response)) {
                    break;
                }
            }
            return response.toString();
        }
    }

    /** Sends a request and reads until the first event of the stream is complete; the connection stays open. */
    String sendUntilEvent(String request) throws IOException {
        Socket client = new Socket("127.0.0.1", listener.port());
        open.add(client);
        client.setSoTimeout(8_000);
        client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder response = new StringBuilder();
        while (!response.toString().contains("\n\n")) {
            int b = client.getInputStream().read();
            assertTrue(b >= 0, "closed after " + response);
            response.append((char) b);
        }
        return response.toString();
    }

    private static boolean isComplete(StringBuilder response) {
        int headEnd = response.indexOf("\r\n\r\n");
        int field = response.indexOf("content-length: ");
        if (headEnd >= 0 && field >= 0 && field < headEnd) {
            int valueStart = field + "content-length: ".length();
            int bodyBytes = Integer.parseInt(response.substring(valueStart, response.indexOf("\r\n", valueStart)));
            return response.length() == headEnd + 4 + bodyBytes;
        }
        return headEnd >= 0 && response.toString().endsWith("0\r\n\r\n");
    }

    static String chunkedBody(String response) {
        StringBuilder body = new StringBuilder();
        int position = response.indexOf("\r\n\r\n") + 4;
        while (position < response.length()) {
            int lineEnd = response.indexOf("\r\n", position);
            int length = Integer.parseInt(response.substring(position, lineEnd), 16);
            body.append(response, lineEnd + 2, lineEnd + 2 + length);
            position = lineEnd + 2 + length + 2;
        }
        return body.toString();
    }

    static void awaitRequests(ScriptedServer server, int count) throws InterruptedException {
        for (int i = 0; i < 500 && server.requests.size() < count; i++) {
            Thread.sleep(10);
        }
        assertEquals(server.requests.size(), count);
    }

    static void respond(
            OutputStream out, String status, ScriptedServer.ReceivedRequest request, String headers, String body)
            throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nid: " + request.header("id") + "\r\n" + headers + "content-length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    static void respondWithEvents(ScriptedServer.ReceivedRequest request, OutputStream out, String... data)
            throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id")
                        + "\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < data.length; i++) {
            writeChunk(out, "id: " + (i + 1) + "\ndata: " + data[i] + "\n\n");
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    static void writeChunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    /** A client that keeps its connection. */
    final class KeptClient implements AutoCloseable {
        private final Socket socket = new Socket("127.0.0.1", listener.port());

        KeptClient() throws IOException {
            socket.setSoTimeout(5_000);
        }

        void write(String requests) throws IOException {
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
        }

        String read(int bytes) throws IOException {
            return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
        }

        /** Returns all that comes until the host closes the connection. */
        String readToEnd() throws IOException {
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A host without others. */
    private static final class OnlyHost implements CustomerQuotas.Network {
        @Override
        public Collection<String> hosts() {
            return List.of();
        }

        @Override
        public boolean mayKeep() {
            return true;
        }

        @Override
        public void send(String host, QuotaRequest request) {}

        @Override
        public void sendNotice(String host, QuotaReply notice) {}

        @Override
        public void announce(String host) {}
    }
}
