package org.celerygw.gateway.forward;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests servers that send bytes without end: the host closes the connection and keeps little of them. */
public final class EndlessResponseTest extends ForwarderFixture {
    private static final int MAX_SENT_BYTES = 64 << 20;
    /** Half a second after its timeout, any request must have been answered. */
    private static final long MAX_OTHER_MS = 2_500;

    @DataProvider
    public Object[][] responses() {
        String chunked = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n";
        String unframed = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n\r\n";
        String block = "x".repeat(4_096);
        return new Object[][] {
            {"/unsafe/", "", block},
            {"/unsafe/", "HTTP/1.1 200 OK\r\n", "name: value\r\n"},
            {"/unsafe/", "HTTP/1.1 200 OK\r\nname: ", block},
            {"/unsafe/", "", "HTTP/1.1 102 Processing\r\n\r\n"},
            {"/unsafe/", "", "HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 0\r\n\r\n"},
            {"/unsafe/", unframed, block},
            {"/unsafe/", chunked, "1000\r\n" + block + "\r\n"},
            {"/unsafe/", chunked + "1\r\nx\r\n0\r\n", "name: value\r\n"},
            {"/unsafe/", "HTTP/1.1 500 Error\r\nid: 1\r\n\r\n", block},
            {"/stream/", unframed, block},
            {"/stream/", unframed, "data: " + block + "\n"},
            {"/stream/", unframed, ":\n\n"},
        };
    }

    /** Guards against a host that reads on, and grows, for as long as a server sends. */
    @Test(dataProvider = "responses", timeOut = 20_000)
    public void connectionWithBytesWithoutEndIsClosed(String path, String start, String repeated) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        startServer((request, out, socket) -> {
            write(out, start);
            writeUntilClosed(out, repeated, 0, closed);
        });
        byte[] response = sendAndReadToEnd(getRequest(path, "1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        String end = new String(response, Math.max(0, response.length - 5), Math.min(5, response.length), US_ASCII);
        assertFalse(end.equals("0\r\n\r\n"), "a response without end looks complete");
        assertTrue(response.length < 8 << 20, response.length + " bytes were passed on");
        assertTrue(closed.await(5, TimeUnit.SECONDS), "the connection stayed open");
    }

    @DataProvider
    public Object[][] shortUnits() {
        String head = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n";
        String chunked = head + "transfer-encoding: chunked\r\n\r\n";
        return new Object[][] {
            {"/stream/", head + "\r\n", "\n"},
            {"/stream/", head + "\r\n", ":\n\n"},
            {"/stream/", head + "\r\n", "id: 1\n"},
            {"/stream/", head + "\r\nid: 1\n", "data:\n"},
            {"/stream/", chunked, "1\r\n\n\r\n"},
            {"/stream/", chunked, "1\r\nx\r\n"},
            {"/unsafe/", chunked, "1\r\nx\r\n"},
            {"/unsafe/", "", "\n"},
            {"/unsafe/", "", "a: b\r\n"},
        };
    }

    /** Guards against a host that does work for each byte, line or chunk of a response and answers no one meanwhile. */
    @Test(dataProvider = "shortUnits", timeOut = 30_000)
    public void otherRequestsAreAnsweredWhileServersSendShortUnitsWithoutEnd(String path, String start, String unit)
            throws Exception {
        for (int i = 0; i < 3; i++) {
            startServer((request, out, socket) -> {
                if (request.requestLine().contains("/safe/")) {
                    respond(out, "200 OK", request, SIGNED, "x");
                } else {
                    write(out, start);
                    writeUntilClosed(out, unit, 0, new CountDownLatch(1));
                }
            });
        }
        AtomicBoolean done = new AtomicBoolean();
        List<CompletableFuture<Void>> callers = IntStream.range(0, 4)
                .mapToObj(i ->
                        CompletableFuture.runAsync(() -> sendRepeatedly(path, done), task -> new Thread(task).start()))
                .toList();
        long slowestMs = 0;
        for (int i = 0; i < 40; i++) {
            long sentNs = System.nanoTime();
            sendRequest(getRequest("/safe/", "2"));
            slowestMs = Math.max(slowestMs, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs));
            Thread.sleep(20);
        }
        done.set(true);
        for (CompletableFuture<Void> caller : callers) {
            caller.get(10, TimeUnit.SECONDS);
        }
        assertTrue(slowestMs < MAX_OTHER_MS, "another request was answered after " + slowestMs + " ms");
    }

    private void sendRepeatedly(String path, AtomicBoolean done) {
        while (!done.get()) {
            try {
                sendAndReadToEnd(getRequest(path, "1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            } catch (IOException e) {
                // The host broke the response off.
            }
        }
    }

    /** Guards against a connection that outlives its request because the client of an unsafe request has left. */
    @Test
    public void slowBodyWithoutEndIsCutAtTheDeadlineAfterTheClientHasLeft() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        startServer((request, out, socket) -> {
            write(out, "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n\r\n");
            started.countDown();
            writeUntilClosed(out, "x", 20, closed);
        });
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.getOutputStream().write(getRequest("/unsafe/", "1").getBytes(US_ASCII));
            assertTrue(started.await(5, TimeUnit.SECONDS));
        }
        assertTrue(closed.await(5, TimeUnit.SECONDS), "the connection stayed open");
    }

    private byte[] sendAndReadToEnd(String request) throws IOException {
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.setSoTimeout(6_000);
            client.getOutputStream().write(request.getBytes(US_ASCII));
            return client.getInputStream().readAllBytes();
        }
    }

    private static void writeUntilClosed(OutputStream out, String repeated, long pauseMs, CountDownLatch closed)
            throws IOException, InterruptedException {
        // Short repetitions are written together, so that the host and not the writer sets the pace.
        String block = pauseMs > 0 ? repeated : repeated.repeat(Math.max(1, 4_096 / repeated.length()));
        try {
            for (int sent = 0; sent < MAX_SENT_BYTES; sent += block.length()) {
                write(out, block);
                Thread.sleep(pauseMs);
            }
        } catch (IOException e) {
            closed.countDown();
            throw e;
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(US_ASCII));
        out.flush();
    }
}
