package org.celerygw.gateway.forward;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.time.Clock;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.MonotonicClock;
import org.celerygw.gateway.net.HttpListener;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.OriginRequest;
import org.celerygw.gateway.net.ResponseHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a host that keeps reading, or keeps in memory, bytes that a server, the store, a peer or callers send
 * without end.
 */
public final class UnboundedBytesTest {
    private static final int MAX_SENT_BYTES = 96 << 20;
    private static final long MAX_RESPONSE_BYTES = 1 << 20;
    /** What the buffers of two sockets hold beside the limit. */
    private static final int SOCKET_BYTES = 24 << 20;

    private final Clock clock = new MonotonicClock();
    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private Scheduler scheduler;

    @BeforeClass
    public void startLoop() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        scheduler = (delayMs, task) -> {
            var unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
    }

    @AfterClass
    public void stopLoop() {
        var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] responses() {
        String head = "HTTP/1.1 200 OK\r\n";
        return new Object[][] {
            {"", "\n"},
            {"", "\0"},
            {head + "\r\n", "x"},
            {head + "transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
            {head + "content-length: 2000000000\r\n\r\n", "x"},
        };
    }

    @Test(dataProvider = "responses", timeOut = 30_000)
    public void responseWithoutEndFailsAtTheLimit(String start, String unit) throws Exception {
        CompletableFuture<Integer> sentBytes = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((request, out, socket) -> {
            out.write(start.getBytes(US_ASCII));
            writeUntilClosed(out, unit, sentBytes);
        })) {
            Received received = new Received();
            loop.execute(() -> pool(server).send(request(), head -> true, 1_000, received));
            assertFalse(received.complete.get(10, TimeUnit.SECONDS));
            assertTrue(received.bytes <= MAX_RESPONSE_BYTES, received.bytes + " bytes were passed on");
            assertTrue(sentBytes.get(10, TimeUnit.SECONDS) < SOCKET_BYTES, sentBytes.get() + " bytes were read");
        }
    }

    @Test(timeOut = 30_000)
    public void bytesThatBelongToNoRequestCloseTheConnection() throws Exception {
        CompletableFuture<Integer> sentBytes = new CompletableFuture<>();
        CountDownLatch complete = new CountDownLatch(1);
        try (ScriptedServer server = new ScriptedServer((request, out, socket) -> {
            out.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".getBytes(US_ASCII));
            complete.await();
            writeUntilClosed(out, "\n", sentBytes);
        })) {
            Received received = new Received();
            loop.execute(() -> pool(server).send(request(), head -> true, 1_000, received));
            assertTrue(received.complete.get(10, TimeUnit.SECONDS));
            complete.countDown();
            assertTrue(sentBytes.get(10, TimeUnit.SECONDS) < SOCKET_BYTES, sentBytes.get() + " bytes were read");
        }
    }

    @Test(timeOut = 30_000)
    public void relayKeepsLittleForAPeerThatDoesNotRead() throws Exception {
        CompletableFuture<Integer> sentBytes = new CompletableFuture<>();
        try (ScriptedServer server = new ScriptedServer((request, out, socket) -> {
            out.write("HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n\r\n".getBytes(US_ASCII));
            writeUntilClosed(out, "x", sentBytes);
        })) {
            ServerList servers = new ServerList(removed -> {});
            servers.put(new BackendServer("i1", "s", "127.0.0.1", server.port(), "z", "v1", 8, false, 1));
            OriginPools pools = new OriginPools(loop, clock, "id");
            ServerLinks links = new ServerLinks(clock, scheduler, new TestDialect(), servers, pools, PeerRoute.NONE);
            HttpListener listener = HttpListener.start(
                            loop, clock, "127.0.0.1", 0, new ServerRelay(links, servers, scheduler))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
            String relayed = "GET / HTTP/1.1\r\nHost: h\r\nid: 1\r\n" + RelayHeaders.SERVER + ": i1\r\n"
                    + RelayHeaders.REQUEST + ": 1\r\n" + RelayHeaders.TIMEOUT_MS + ": 60000\r\n\r\n";
            try (Socket peer = new Socket("127.0.0.1", listener.port())) {
                peer.getOutputStream().write(relayed.getBytes(US_ASCII));
                assertTrue(sentBytes.get(10, TimeUnit.SECONDS) < SOCKET_BYTES, sentBytes.get() + " bytes were read");
            }
        }
    }

    /** Guards against a host that runs out of memory because many callers send large bodies at once. */
    @Test(timeOut = 60_000)
    public void largeBodiesOfManyCallersAreRefusedAndSmallOnesAreNot() throws Exception {
        HttpListener listener = HttpListener.start(
                        loop,
                        clock,
                        "127.0.0.1",
                        0,
                        (request, response) -> response.send(200, new DefaultHttpHeaders(), new byte[0]))
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        List<Socket> senders = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < 12; i++) {
            Socket sender = new Socket("127.0.0.1", listener.port());
            senders.add(sender);
            sender.getOutputStream()
                    .write("POST / HTTP/1.1\r\nHost: h\r\ncontent-length: 4000000\r\n\r\n".getBytes(US_ASCII));
            try {
                sender.getOutputStream().write(new byte[3_900_000]);
                sender.setSoTimeout(300);
                refused += sender.getInputStream().read() == -1 ? 0 : 1;
            } catch (SocketTimeoutException e) {
                // Accepted so far.
            } catch (IOException e) {
                refused++;
            }
        }
        assertEquals(refused, 8);
        try (Socket small = new Socket("127.0.0.1", listener.port())) {
            small.getOutputStream()
                    .write("POST / HTTP/1.1\r\nHost: h\r\ncontent-length: 1\r\n\r\nx".getBytes(US_ASCII));
            assertEquals(new String(small.getInputStream().readNBytes(12), US_ASCII), "HTTP/1.1 200");
        }
        for (Socket sender : senders) {
            sender.close();
        }
        assertEquals(sendLargeBody(listener), "HTTP/1.1 200");
    }

    private static String sendLargeBody(HttpListener listener) throws IOException {
        try (Socket sender = new Socket("127.0.0.1", listener.port())) {
            sender.getOutputStream()
                    .write("POST / HTTP/1.1\r\nHost: h\r\ncontent-length: 4000000\r\n\r\n".getBytes(US_ASCII));
            sender.getOutputStream().write(new byte[4_000_000]);
            return new String(sender.getInputStream().readNBytes(12), US_ASCII);
        }
    }

    private OriginPool pool(ScriptedServer server) {
        return new OriginPool(
                loop, clock, "127.0.0.1", server.port(), new OriginPool.Limits(500, 5_000, 4, MAX_RESPONSE_BYTES));
    }

    private static OriginRequest request() {
        return new OriginRequest(HttpMethod.GET, "/", new DefaultHttpHeaders().set("Host", "h"), new byte[0]);
    }

    /** Reports how many bytes could be written until the connection was closed, or all that may be written. */
    private static void writeUntilClosed(OutputStream out, String unit, CompletableFuture<Integer> sentBytes) {
        byte[] block = unit.repeat(4_096).getBytes(US_ASCII);
        int sent = 0;
        try {
            while (sent < MAX_SENT_BYTES) {
                out.write(block);
                sent += block.length;
            }
        } catch (IOException e) {
            // The host has closed the connection.
        }
        sentBytes.complete(sent);
    }

    /** Counts what is passed on of a response, and whether it is complete. */
    private static final class Received implements ResponseHandler {
        final CompletableFuture<Boolean> complete = new CompletableFuture<>();
        volatile long bytes;

        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(byte[] part) {
            bytes += part.length;
        }

        @Override
        public void onComplete() {
            complete.complete(true);
        }

        @Override
        public void onFailure(boolean sent) {
            complete.complete(false);
        }
    }
}
