package org.celerygw.gateway.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.celerygw.gateway.MonotonicClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses count as complete when an origin stops in the middle of one or sends a malformed head. */
public final class BrokenHeadTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String WITH_LENGTH = OK + "id: 1\r\nsigned: x\r\ncontent-length: 2\r\n\r\nok";
    private static final String WITH_LENGTH_0 = OK + "id: 1\r\nsigned: x\r\ncontent-length: 0\r\n\r\n";
    private static final String IN_CHUNKS =
            OK + "id: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\ntrailer: t\r\n\r\n";
    private static final String WITHOUT_LENGTH = OK + "id: 1\r\nsigned: x\r\n\r\nok";
    private static final String AFTER_INTERIM = "HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH_0;
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    private static final String HTTP_1_0 = "HTTP/1.0 200 OK\r\nid: 1\r\nsigned: x\r\n\r\nok";
    private static final int LATE_MS = 2;
    private static final int TIMEOUT_S = 10;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    /** More than the buffers of a connection hold, so that it is still being written when the server resets. */
    private static final int LARGE_BODY_BYTES = 16 << 20;

    private static final int RESETS_DURING_A_WRITE = 10;

    private MultiThreadIoEventLoopGroup group;
    private EventLoop loop;
    private ServerSocket listener;
    private OriginPool pool;
    private volatile Answer answer;

    private enum End {
        FIN,
        RESET,
        LATE_FIN,
        LATE_RESET,
        STAYS_OPEN
    }

    private record Answer(String text, End end) {}

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
    public void start() throws IOException {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        Thread acceptThread = new Thread(this::acceptConnections, "broken-head-server");
        acceptThread.setDaemon(true);
        acceptThread.start();
        pool = new OriginPool(
                loop,
                new MonotonicClock(),
                "127.0.0.1",
                listener.getLocalPort(),
                new OriginPool.Limits(1_000, 10_000, 4, 1 << 20));
    }

    @AfterMethod
    public void stop() throws IOException {
        listener.close();
    }

    @DataProvider
    public Object[][] answers() {
        List<Object[]> cases = new ArrayList<>();
        for (String text :
                List.of(WITH_LENGTH, WITH_LENGTH_0, IN_CHUNKS, WITHOUT_LENGTH, AFTER_INTERIM, REFUSAL, HTTP_1_0)) {
            for (End end : List.of(End.FIN, End.RESET)) {
                cases.add(new Object[] {text, end, false});
                cases.add(new Object[] {text, end, true});
            }
        }
        for (String text : List.of(IN_CHUNKS, WITHOUT_LENGTH)) {
            cases.add(new Object[] {text, End.LATE_FIN, false});
            cases.add(new Object[] {text, End.LATE_RESET, false});
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a response that broke off, in its head or after it, and is taken for a complete one. */
    @Test(dataProvider = "answers")
    public void responseThatBreaksOffIsNotComplete(String text, End end, boolean kept) throws Exception {
        boolean endsWithConnection = text.equals(WITHOUT_LENGTH) || text.equals(HTTP_1_0);
        boolean closedAsAgreed = end == End.FIN || end == End.LATE_FIN;
        int headBytes = text.indexOf("\r\n\r\n") + 4;
        int wholeBytes = endsWithConnection && closedAsAgreed ? headBytes : text.length();
        List<String> taken = new ArrayList<>();
        for (int length = 0; length < wholeBytes; length++) {
            if (kept) {
                answer = new Answer(WITH_LENGTH, End.STAYS_OPEN);
                assertEquals(send(0), "200 ok complete");
            }
            answer = new Answer(text.substring(0, length), end);
            String outcome = send(0);
            if (!outcome.endsWith(" failed")) {
                taken.add(length + ": " + outcome);
            }
        }
        assertEquals(taken, List.of());
    }

    /** Guards against a body that ends with a reset, noticed while the request is still being written, as a complete one. */
    @Test
    public void resetThatIsNoticedByAWriteDoesNotEndTheBody() throws Exception {
        for (int i = 0; i < RESETS_DURING_A_WRITE; i++) {
            answer = new Answer(WITHOUT_LENGTH, End.LATE_RESET);
            String outcome = send(LARGE_BODY_BYTES);
            assertTrue(outcome.endsWith(" failed"), outcome);
        }
    }

    /** A response without length is complete when its server closes the connection after the head. */
    @Test(dataProvider = "lateOrNot")
    public void responseWithoutLengthEndsWithTheConnection(End end) throws Exception {
        answer = new Answer(WITHOUT_LENGTH, end);
        assertEquals(send(0), "200 ok complete");
        answer = new Answer(HTTP_1_0, end);
        assertEquals(send(0), "200 ok complete");
    }

    @DataProvider
    public Object[][] lateOrNot() {
        return new Object[][] {{End.FIN}, {End.LATE_FIN}};
    }

    @DataProvider
    public Object[][] malformedHeads() {
        String start = OK + "id: 1\r\nsigned: x\r\n";
        String lengthAndBody = "id: 1\r\nsigned: x\r\ncontent-length: 2\r\n\r\nok";
        String coding = "transfer-encoding: chunked\r\n";
        String chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
        return new Object[][] {
            {start + "content-length: 2\r\ncontent-length: 3\r\n\r\nok?"},
            {start + "content-length: 3\r\ncontent-length: 2\r\n\r\nok?"},
            {start + "content-length: 2, 3\r\n\r\nok?"},
            {start + "content-length: -1\r\n\r\nok"},
            {start + "content-length: +2\r\n\r\nok"},
            {start + "content-length: \r\n\r\nok"},
            {start + "content-length: 99999999999999999999\r\n\r\nok"},
            {start + "content-length: 9223372036854775807\r\n\r\nok"},
            {start + "content-length 2\r\n\r\nok"},
            {start + "content-length: 2\r\n" + coding + chunks},
            {start + coding + "content-length: 2\r\n" + chunks},
            {start + "transfer-encoding: gzip\r\n\r\nok"},
            {start + "transfer-encoding: gzip\r\ncontent-length: 2\r\n\r\nok"},
            {start + "transfer-encoding: gzip, chunked\r\n" + chunks},
            {start + "transfer-encoding: chunked, gzip\r\n" + chunks},
            {start + "transfer-encoding: gzip\r\n" + coding + chunks},
            {start + coding + coding + chunks},
            {start + "transfer-encoding: \r\n\r\nok"},
            {start + "transfer-encoding chunked\r\n" + chunks},
            {"HTTP/1.0 200 OK\r\nid: 1\r\nsigned: x\r\n" + coding + chunks},
            {"HTTP/0.9 200 OK\r\n" + lengthAndBody},
            {"HTTP/2.0 200 OK\r\n" + lengthAndBody},
            {"HTTP/1.1 +200 OK\r\n" + lengthAndBody},
            {"HTTP/1.1 0200 OK\r\n" + lengthAndBody},
            {"HTTP/1.1 2 OK\r\n" + lengthAndBody},
            {"HTTP/1.1 20\r\n" + lengthAndBody},
            {"HTTP/1.1 2000 OK\r\n" + lengthAndBody},
            {"HTTP/1.1 600 OK\r\n" + lengthAndBody},
            {"HTTP/1.1\r\n" + lengthAndBody},
            {"200 OK\r\n" + lengthAndBody},
            {OK + "signed x\r\n" + lengthAndBody},
            {OK + "signed\r\n" + lengthAndBody},
            {OK + "error text\r\n" + lengthAndBody},
            {OK + " id: 1\r\n" + lengthAndBody},
            {"HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\nok" + WITH_LENGTH},
            {"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" + WITH_LENGTH},
        };
    }

    /** Guards against a body that is not the server's, or a status that it did not mean, from a head that is malformed. */
    @Test(dataProvider = "malformedHeads")
    public void responseWithAMalformedHeadFails(String text) throws Exception {
        answer = new Answer(text, End.LATE_FIN);
        String outcome = send(0);
        assertTrue(outcome.endsWith(" failed"), outcome);
    }

    @DataProvider
    public Object[][] unusualHeads() {
        return new Object[][] {
            {"HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok", "200 ok complete"},
            {OK + "Content-Length : 2\r\nx:\r\n\r\nok", "200 ok complete"},
            {OK + "TRANSFER-ENCODING:\tChunked \r\nx:\r\n\r\n2\r\nok\r\n0\r\n\r\n", "200 ok complete"},
            {"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", "200 ok complete"},
            {"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + WITH_LENGTH, "200 ok complete"},
            {"HTTP/1.1 204 No Content\r\ncontent-length: 2\r\n\r\nok", "204  complete"},
            {"HTTP/1.1 304 Not Modified\r\ncontent-length: 2\r\n\r\n", "304  complete"},
        };
    }

    /** Guards against checks so strict that they fail responses which are valid. */
    @Test(dataProvider = "unusualHeads")
    public void unusualHeadIsAccepted(String text, String expected) throws Exception {
        answer = new Answer(text, End.STAYS_OPEN);
        assertEquals(send(0), expected);
    }

    /** Returns the status, the body and whether the response was complete. */
    private String send(int bodyBytes) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        loop.execute(() -> {
            OriginRequest request = new OriginRequest(
                    bodyBytes == 0 ? HttpMethod.GET : HttpMethod.POST,
                    "/",
                    new DefaultHttpHeaders().set("host", "h"),
                    new byte[bodyBytes]);
            var unused = pool.send(request, head -> true, 10_000, new Recorder(outcome));
        });
        return outcome.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static final class Recorder implements ResponseHandler {
        private final CompletableFuture<String> outcome;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        Recorder(CompletableFuture<String> outcome) {
            this.outcome = outcome;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void onBody(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            outcome.complete(status + " " + body + " complete");
        }

        @Override
        public void onFailure(boolean sent) {
            outcome.complete(status + " " + body + (sent ? " failed" : " not sent"));
        }
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = listener.accept();
                Thread connectionThread = new Thread(() -> serve(socket), "broken-head-connection");
                connectionThread.setDaemon(true);
                connectionThread.start();
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean open = true;
            while (open) {
                readHead(in);
                Answer current = answer;
                socket.getOutputStream().write(current.text().getBytes(StandardCharsets.US_ASCII));
                if (current.end() == End.LATE_FIN || current.end() == End.LATE_RESET) {
                    Thread.sleep(LATE_MS);
                }
                if (current.end() == End.RESET || current.end() == End.LATE_RESET) {
                    socket.setSoLinger(true, 0);
                }
                open = current.end() == End.STAYS_OPEN;
            }
        } catch (IOException | InterruptedException e) {
            // The client closed the connection, or the test ended.
        }
    }

    private static void readHead(InputStream in) throws IOException {
        int lineFeeds = 0;
        while (lineFeeds < 2) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            lineFeeds = b == '\n' ? lineFeeds + 1 : b == '\r' ? lineFeeds : 0;
        }
    }
}
