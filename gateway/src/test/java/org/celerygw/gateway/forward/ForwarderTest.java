package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.Chooser;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.store.Table;
import org.celerygw.core.turns.Ledger;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.SteadyClock;
import org.celerygw.gateway.net.Listener;
import org.celerygw.standin.Fault;
import org.celerygw.standin.Faults;
import org.celerygw.standin.MemoryTable;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A gateway on loopback between raw clients and servers that answer whatever a test wants. */
public final class ForwarderTest {
    private static final String SIGNED = "signed: x\r\n";

    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private Listener listener;
    private ServerList servers;
    private Faults faults;
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
    public void startGateway() throws InterruptedException {
        SteadyClock clock = new SteadyClock();
        Scheduler scheduler = (delayMs, task) -> {
            var unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
        faults = new Faults();
        List<Table> rows = IntStream.range(0, 4)
                .mapToObj(i -> (Table) new MemoryTable(loop, faults))
                .toList();
        Pools pools = new Pools(loop, clock);
        servers = new ServerList(pools::left);
        RouteTable table = table();
        Forwarder forwarder = new Forwarder(
                clock,
                scheduler,
                new TestDialect(),
                () -> table,
                servers,
                new Chooser("z"),
                pools,
                new Ledger(rows, "host", clock, scheduler, 60_000, 1_000_000),
                new RequestLog(new PrometheusRegistry()));
        CountDownLatch up = new CountDownLatch(1);
        Listener.start(loop, clock, "127.0.0.1", 0, forwarder).onSuccess(l -> {
            listener = l;
            up.countDown();
        });
        assertTrue(up.await(5, TimeUnit.SECONDS));
    }

    @AfterMethod
    public void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        open.clear();
    }

    @Test
    public void requestGoesUnchangedAndTheAnswerComesBackWhole() throws Exception {
        ScriptedServer server = server((r, out, s) -> send(out, "200 OK", r, SIGNED, "the body"));
        String answer = ask(
                "POST /safe/a%20b?q=1 HTTP/1.1\r\nHost: h\r\nid: 1\r\nsecret: s\r\nx-own: y\r\n"
                        + "Connection: x-hop\r\nx-hop: z\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.endsWith("the body"), answer);
        ScriptedServer.Seen seen = server.seen.get(0);
        assertEquals(seen.line(), "POST /safe/a%20b?q=1 HTTP/1.1");
        assertEquals(seen.body(), "abcde");
        assertEquals(seen.header("x-own"), "y");
        assertEquals(seen.header("secret"), "");
        assertEquals(seen.header("x-hop"), "");
        assertFalse(seen.header("server").isEmpty());
        assertTrue(Long.parseLong(seen.header("left-ms")) <= 2_000);
    }

    @Test
    public void requestsWithTwoLengthsAreRefused() throws Exception {
        ScriptedServer server = server((r, out, s) -> send(out, "200 OK", r, SIGNED, "x"));
        String smuggled = "GET /safe/evil HTTP/1.1\r\nHost: h\r\nid: 2\r\n\r\n";
        List<String> heads = List.of(
                "Content-Length: " + smuggled.length() + "\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 5\r\nContent-Length: " + smuggled.length() + "\r\n",
                "Transfer-Encoding: chunked, identity\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Content-Length: +5\r\n",
                "Content-Length : 5\r\n",
                "Host: other\r\n");
        for (String head : heads) {
            String answer = ask("POST /safe/ HTTP/1.1\r\nHost: h\r\nid: 1\r\n" + head + "\r\n0\r\n\r\n" + smuggled);
            assertTrue(answer.startsWith("HTTP/1.1 400"), head + " gave " + answer);
        }
        assertEquals(server.seen.size(), 0);
    }

    @Test
    public void unsafeRequestWhoseAnswerIsLostRunsOnce() throws Exception {
        ScriptedServer one = server((r, out, s) -> s.close());
        ScriptedServer two = server((r, out, s) -> s.close());
        String answer = ask(get("/unsafe/", "1"));
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertEquals(one.seen.size() + two.seen.size(), 1);
    }

    @Test
    public void safeRequestWhoseAnswerIsLostRunsAgainElsewhere() throws Exception {
        ScriptedServer one = server((r, out, s) -> s.close());
        ScriptedServer two = server((r, out, s) -> send(out, "200 OK", r, SIGNED, "ok"));
        for (int i = 0; i < 8; i++) {
            assertTrue(ask(get("/safe/", "r" + i)).endsWith("ok"));
        }
        assertTrue(one.seen.size() >= 1);
        assertEquals(two.seen.size(), 8);
    }

    @Test
    public void unsafeRequestThatDidNotRunGoesToAnotherServer() throws Exception {
        ScriptedServer one = server((r, out, s) -> send(out, "503 No", r, "not-run: 1\r\n", ""));
        ScriptedServer two = server((r, out, s) -> send(out, "200 OK", r, SIGNED, "ok"));
        for (int i = 0; i < 8; i++) {
            assertTrue(ask(get("/unsafe/", "r" + i)).endsWith("ok"));
        }
        assertEquals(two.seen.size(), 8);
        assertTrue(one.seen.size() >= 1);
    }

    @Test
    public void refusalOfAllServersSaysWhenToComeBack() throws Exception {
        server((r, out, s) -> send(out, "503 No", r, "not-run: 1\r\nsigned: x\r\n", ""));
        String answer = ask(get("/unsafe/", "1"));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertTrue(answer.contains("retry-after: "), answer);
        assertFalse(answer.contains("signed"), answer);
    }

    @Test
    public void lateAnswerOfAnotherRequestIsPassedOver() throws Exception {
        server((r, out, s) -> {
            out.write("HTTP/1.1 200 OK\r\nid: other\r\nsigned: x\r\ncontent-length: 5\r\n\r\nwrong"
                    .getBytes(StandardCharsets.US_ASCII));
            send(out, "200 OK", r, SIGNED, "right");
        });
        assertTrue(ask(get("/unsafe/", "1")).endsWith("right"));
    }

    @Test
    public void bytesAfterAnAnswerBelongToNoRequest() throws Exception {
        ScriptedServer server = server((r, out, s) -> {
            // One write, so that both come in one read.
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            send(both, "200 OK", r, SIGNED, r.header("id"));
            send(both, "200 OK", r, SIGNED, "extra");
            out.write(both.toByteArray());
        });
        for (int i = 0; i < 5; i++) {
            assertTrue(ask(get("/unsafe/", "r" + i)).endsWith("r" + i));
        }
        assertEquals(server.connections.get(), 5);
    }

    @Test
    public void successWithoutSignatureOrWithCodingIsNoSuccess() throws Exception {
        server((r, out, s) ->
                send(out, "200 OK", r, r.line().contains("coded") ? SIGNED + "content-encoding: gzip\r\n" : "", "x"));
        assertTrue(ask(get("/unsafe/", "1")).startsWith("HTTP/1.1 502"));
        assertTrue(ask(get("/unsafe/coded", "2")).startsWith("HTTP/1.1 502"));
    }

    @Test
    public void answerWithoutLengthIsWholeWhenClosedAndLostWhenReset() throws Exception {
        server((r, out, s) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: " + r.header("id") + "\r\nsigned: x\r\n\r\nall there is")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(50);
            if (r.line().contains("reset")) {
                s.setSoLinger(true, 0);
            }
            s.close();
        });
        assertTrue(ask(get("/unsafe/closed", "1")).endsWith("all there is"));
        assertTrue(ask(get("/unsafe/reset", "2")).startsWith("HTTP/1.1 502"));
    }

    @Test
    public void truncatedAnswerIsNeverPassedOn() throws Exception {
        server((r, out, s) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: " + r.header("id") + "\r\nsigned: x\r\ncontent-length: 50\r\n\r\nhalf")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            s.close();
        });
        assertTrue(ask(get("/unsafe/", "1")).startsWith("HTTP/1.1 502"));
    }

    @Test
    public void resumableStreamGoesOnAtAnotherServerAfterTheLastWholeEvent() throws Exception {
        ScriptedServer.Script script = (r, out, s) -> {
            boolean again = !r.header("last-event").isEmpty();
            out.write(("HTTP/1.1 200 OK\r\nid: " + r.header("id") + "\r\nsigned: " + (again ? "two" : "one")
                            + "\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            if (again) {
                chunk(out, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } else {
                chunk(out, "id: 1\ndata: a\n\nid: 2\ndata: b");
                out.flush();
                s.close();
            }
        };
        server(script);
        server(script);
        String answer = ask(get("/resume/", "1"));
        assertTrue(answer.contains("signed: one"), answer);
        assertEquals(events(answer), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
    }

    @Test
    public void streamThatMayNotGoOnIsBrokenOffVisibly() throws Exception {
        server((r, out, s) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            chunk(out, "id: 1\ndata: a\n\n");
            out.flush();
            s.close();
        });
        String answer = ask(get("/stream/", "1"));
        assertEquals(events(answer), "id: 1\ndata: a\n\n");
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
    }

    @Test
    public void keptTurnsAreSentWithTheirChain() throws Exception {
        ScriptedServer server = server((r, out, s) -> stream(r, out, "x" + r.header("id"), "y"));
        ask(turn("a", "", "in1,"));
        ask(turn("b", "a", "in2,"));
        String last = ask(turn("c", "b", "in3"));
        assertTrue(last.endsWith("0\r\n\r\n"), last);
        assertEquals(server.seen.get(2).body(), "in1,xa\ny\nin2,xb\ny\nin3");
        assertTrue(ask(turn("d", "none", "in")).startsWith("HTTP/1.1 404"));
        assertEquals(server.seen.size(), 3);
    }

    @Test
    public void turnBeyondTheBudgetIsRefusedAndDoesNotRun() throws Exception {
        ScriptedServer server = server((r, out, s) -> stream(r, out, "x"));
        assertTrue(ask(turn("a", "", "in")).startsWith("HTTP/1.1 200"));
        assertTrue(ask(turn("b", "a", "in").replace("max: 10", "max: 100")).startsWith("HTTP/1.1 402"));
        assertEquals(server.seen.size(), 1);
    }

    @Test
    public void turnIsRefusedWhileTheStoreIsAway() throws Exception {
        ScriptedServer server = server((r, out, s) -> stream(r, out, "x"));
        faults.always(Fault.DOWN);
        ask(turn("a", "", "in").replace("left-ms: 2000", "left-ms: 300"));
        int before = server.seen.size();
        String answer = ask(turn("b", "", "in").replace("left-ms: 2000", "left-ms: 300"));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        assertEquals(server.seen.size(), before);
    }

    /** The route's target is 100 ms: a turn that was not sent by then cannot be answered before its deadline. */
    @Test
    public void turnIsRefusedBeforeItsDeadlineOnceItCanNoLongerBeServed() throws Exception {
        server((r, out, s) -> stream(r, out, "x"));
        faults.always(Fault.DOWN);
        ask(turn("a", "", "in").replace("left-ms: 2000", "left-ms: 300"));
        String answer = ask(turn("b", "", "in"));
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        // At the deadline it would be told to come back after 0.15 s; for the store, after 0.3 to 0.6 s.
        assertTrue(answer.matches("(?s).*retry-after: 0\\.[3-5].*"), answer);
    }

    @Test
    public void clientThatLeavesStopsTheStreamAtTheServer() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        server((r, out, s) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            chunk(out, "id: 1\ndata: a\n\n");
            out.flush();
            if (s.getInputStream().read() < 0) {
                stopped.countDown();
            }
        });
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.getOutputStream().write(get("/stream/", "1").getBytes(StandardCharsets.US_ASCII));
            assertTrue(client.getInputStream().read() > 0);
        }
        assertTrue(stopped.await(5, TimeUnit.SECONDS));
    }

    @Test
    public void safeRequestIsAskedElsewhereWhenAServerStaysSilent() throws Exception {
        ScriptedServer silent = server((r, out, s) -> Thread.sleep(60_000));
        server((r, out, s) -> send(out, "200 OK", r, SIGNED, "ok"));
        for (int i = 0; i < 8; i++) {
            assertTrue(ask(get("/safe/", "r" + i)).endsWith("ok"));
        }
        assertTrue(silent.seen.size() >= 1);
    }

    @Test
    public void resumableStreamGoesOnElsewhereWhenItsServerFallsSilent() throws Exception {
        ScriptedServer.Script script = (r, out, s) -> {
            boolean again = !r.header("last-event").isEmpty();
            out.write(("HTTP/1.1 200 OK\r\nid: " + r.header("id") + "\r\nsigned: x\r\n"
                            + "transfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            chunk(out, again ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\n");
            out.flush();
            if (!again) {
                Thread.sleep(60_000);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        };
        server(script);
        server(script);
        assertEquals(events(ask(get("/resume/", "1"))), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Test
    public void serverThatFailsPartOfItsRequestsGetsFewOfThem() throws Exception {
        int[] count = new int[1];
        ScriptedServer grey =
                server((r, out, s) -> send(out, count[0]++ % 2 == 0 ? "500 Broken" : "200 OK", r, SIGNED, "grey"));
        ScriptedServer sound = server((r, out, s) -> send(out, "200 OK", r, SIGNED, "ok"));
        for (int i = 0; i < 60; i++) {
            ask(get("/unsafe/", "r" + i));
        }
        assertTrue(grey.seen.size() >= 2, "the failing server was never asked");
        assertTrue(grey.seen.size() <= 15, "the failing server got " + grey.seen.size());
        assertEquals(grey.seen.size() + sound.seen.size(), 60);
    }

    @Test
    public void requestWithoutAnswerEndsAtTheRoutesTimeout() throws Exception {
        server((r, out, s) -> Thread.sleep(5_000));
        assertTrue(ask(get("/short/", "1")).startsWith("HTTP/1.1 504"));
    }

    private static RouteTable table() {
        return new RouteTable(
                1,
                List.of(
                        route("/safe/", RouteKind.SAFE, 2_000, false, false),
                        route("/unsafe/", RouteKind.UNSAFE, 2_000, false, false),
                        route("/short/", RouteKind.UNSAFE, 200, false, false),
                        route("/resume/", RouteKind.STREAMING, 2_000, true, false),
                        route("/stream/", RouteKind.STREAMING, 2_000, false, false),
                        route("/turn/", RouteKind.STREAMING, 2_000, false, true)),
                List.of(new Service("s", 10, true, 8, 3)),
                new RouteTable.Limits(16_000, 100_000, 1_000, 10_000));
    }

    private static Route route(String prefix, RouteKind kind, long timeoutMs, boolean resumable, boolean keeps) {
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
                keeps,
                60_000);
    }

    private ScriptedServer server(ScriptedServer.Script script) throws IOException, InterruptedException {
        ScriptedServer server = new ScriptedServer(script);
        open.add(server);
        CountDownLatch known = new CountDownLatch(1);
        loop.execute(() -> {
            servers.put(new BackendServer("i" + open.size(), "s", "127.0.0.1", server.port(), "z", 8, false, 1));
            known.countDown();
        });
        assertTrue(known.await(5, TimeUnit.SECONDS));
        return server;
    }

    private static String get(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nleft-ms: 2000\r\n\r\n";
    }

    private static String turn(String id, String previous, String input) {
        String parent = previous.isEmpty() ? "" : "previous: " + previous + "\r\n";
        return "POST /turn/ HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nprogram: p\r\nbudget: 50\r\nmax: 10\r\n"
                + "left-ms: 2000\r\n" + parent + "Content-Length: " + input.length() + "\r\n\r\n" + input;
    }

    /** Sends a request and reads until the answer is over or the connection closed. */
    private String ask(String request) throws IOException {
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.setSoTimeout(8_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder answer = new StringBuilder();
            InputStream in = client.getInputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                answer.append((char) b);
                if (over(answer)) {
                    break;
                }
            }
            return answer.toString();
        }
    }

    private static boolean over(StringBuilder answer) {
        int end = answer.indexOf("\r\n\r\n");
        int length = answer.indexOf("content-length: ");
        if (end >= 0 && length >= 0 && length < end) {
            int from = length + "content-length: ".length();
            int bytes = Integer.parseInt(answer.substring(from, answer.indexOf("\r\n", from)));
            return answer.length() == end + 4 + bytes;
        }
        return end >= 0 && answer.toString().endsWith("0\r\n\r\n");
    }

    private static String events(String answer) {
        StringBuilder events = new StringBuilder();
        int at = answer.indexOf("\r\n\r\n") + 4;
        while (at < answer.length()) {
            int line = answer.indexOf("\r\n", at);
            int length = Integer.parseInt(answer.substring(at, line), 16);
            events.append(answer, line + 2, line + 2 + length);
            at = line + 2 + length + 2;
        }
        return events.toString();
    }

    private static void send(OutputStream out, String status, ScriptedServer.Seen r, String headers, String body)
            throws IOException {
        out.write(("HTTP/1.1 " + status + "\r\nid: " + r.header("id") + "\r\n" + headers + "content-length: "
                        + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
    }

    private static void stream(ScriptedServer.Seen r, OutputStream out, String... data) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nid: " + r.header("id") + "\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < data.length; i++) {
            chunk(out, "id: " + (i + 1) + "\ndata: " + data[i] + "\n\n");
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }
}
