package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.celerygw.core.routes.RouteTable;
import org.celerygw.core.routes.Service;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests clients that read slowly or not at all: they hold up their own responses and nothing else. */
public final class SlowReadersTest extends ForwarderFixture {
    private static final int SLOW_CLIENTS = 300;
    private static final int ENGINES = 45;
    private static final int EVENTS = 1_600;
    private static final String DATA = "x".repeat(2_000);
    private static final long UNSENT_BOUND_BYTES = 12 << 20;
    /** One read of the server, and the framing of its last event. */
    private static final long READ_BYTES = 40_000;

    private static final long TIMEOUT_MS = 15_000;
    /** Else the buffers of the servers hold whole responses. */
    private static final int SERVER_BUFFER_BYTES = 16_384;

    /** What is unsent, and as much for the connections of clients and servers within this process. */
    private static final long MAX_HEAP_BYTES = 2 * (UNSENT_BOUND_BYTES + SLOW_CLIENTS * READ_BYTES);

    private final AtomicLong writtenBytes = new AtomicLong();
    private final AtomicInteger activeStreams = new AtomicInteger();

    @BeforeMethod
    public void configure() {
        writtenBytes.set(0);
        activeStreams.set(0);
        Route route = route("/stream/", RouteKind.STREAMING, TIMEOUT_MS, false, false);
        routes = new RouteTable(
                1,
                List.of(route),
                List.of(new Service("s", 100, true, ENGINE_SLOTS, 3, 0)),
                routes.limits(),
                routes.customers());
    }

    /** Guards against a host whose memory grows with each client that does not read, and that fails the others. */
    @Test(timeOut = 60_000)
    public void slowReadersHoldBoundedMemoryAndNoOneElse() throws Exception {
        for (int i = 0; i < ENGINES; i++) {
            startServer((request, out, socket) -> {
                socket.setSendBufferSize(SERVER_BUFFER_BYTES);
                stream(request, out);
            });
        }
        long heapBefore = heapBytes();
        long residentBefore = residentKb();
        List<Socket> slow = new ArrayList<>();
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            slow.add(slowClient("slow" + i));
            // One after the other: on a busy machine, many connections to servers at once are not open within their
            // time.
            int started = i + 1;
            awaitCondition(() -> activeStreams.get() == started);
        }
        awaitSteady();
        long unsent = onLoop(forwarder.unsentBytes::bytes);
        long heapAdded = heapBytes() - heapBefore;
        System.out.printf(
                "slow readers: %d, servers wrote %d MB, unsent %d KB, heap grown by %d KB, resident %d MB (before %d MB)%n",
                activeStreams.get(),
                writtenBytes.get() >> 20,
                unsent >> 10,
                heapAdded >> 10,
                residentKb() >> 10,
                residentBefore >> 10);
        assertEquals(activeStreams.get(), SLOW_CLIENTS);
        assertTrue(unsent <= UNSENT_BOUND_BYTES + SLOW_CLIENTS * READ_BYTES, unsent + " bytes");
        assertTrue(unsent > 0, "no response was paused");
        assertTrue(heapAdded < MAX_HEAP_BYTES, heapAdded + " bytes of heap");
        try (Socket fast = slowClient("fast")) {
            assertComplete(new String(readToEnd(fast), StandardCharsets.ISO_8859_1));
        }
        // A client that reads at last gets all of it: pauses are no silence of the server.
        assertComplete(new String(readToEnd(slow.get(0)), StandardCharsets.ISO_8859_1));
        for (Socket client : slow) {
            client.close();
        }
        awaitCondition(() -> activeStreams.get() == 0 && onLoop(forwarder.unsentBytes::bytes) == 0);
        assertEquals((int) onLoop(forwarder::requestsInFlight), 0);
        assertFalse(onLoop(() -> servers.all().stream()
                .anyMatch(s -> s.hasHighLocalFailureRate(clock.nowMs()) || s.isPaused(clock.nowMs()))));
    }

    /** Guards against a failure counted against an engine that broke off a response which its client did not read. */
    @Test(timeOut = 60_000)
    public void unreadResponseIsNoFailureOfItsServer() throws Exception {
        startServer((request, out, socket) -> {
            socket.setSendBufferSize(SERVER_BUFFER_BYTES);
            if (request.header("id").equals("slow")) {
                Thread writer = new Thread(() -> {
                    try {
                        stream(request, out);
                    } catch (IOException e) {
                        // Broken off below.
                    }
                });
                writer.start();
                awaitSteady();
                socket.setSoLinger(true, 0);
                socket.close();
            } else {
                stream(request, out);
            }
        });
        try (Socket slow = slowClient("slow")) {
            awaitCondition(() -> writtenBytes.get() > 0);
            awaitSteady();
            Thread.sleep(1_000);
            String response = new String(readToEnd(slow), StandardCharsets.ISO_8859_1);
            assertFalse(response.endsWith("0\r\n\r\n"), "a response that was broken off looks complete");
        }
        assertFalse(onLoop(() -> servers.all().stream().anyMatch(s -> s.isPaused(clock.nowMs()))));
        try (Socket next = slowClient("next")) {
            assertComplete(new String(readToEnd(next), StandardCharsets.ISO_8859_1));
        }
    }

    private void stream(ScriptedServer.ReceivedRequest request, OutputStream out) throws IOException {
        activeStreams.incrementAndGet();
        try {
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id")
                            + "\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            for (int i = 1; i <= EVENTS; i++) {
                writeChunk(out, "id: " + i + "\ndata: " + DATA + "\n\n");
                writtenBytes.addAndGet(DATA.length());
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        } finally {
            activeStreams.decrementAndGet();
        }
    }

    private Socket slowClient(String id) throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(4_096);
        client.connect(new InetSocketAddress("127.0.0.1", listener.port()));
        client.setSoTimeout(10_000);
        client.getOutputStream()
                .write(streamRequest(id)
                        .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        return client;
    }

    private static String streamRequest(String id) {
        return "GET /stream/x HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nleft-ms: " + TIMEOUT_MS + "\r\n\r\n";
    }

    private static byte[] readToEnd(Socket client) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        try {
            for (int n = client.getInputStream().read(buffer);
                    n >= 0;
                    n = client.getInputStream().read(buffer)) {
                received.write(buffer, 0, n);
            }
        } catch (SocketException e) {
            // The host has reset the connection.
        }
        return received.toByteArray();
    }

    private static void assertComplete(String response) {
        assertTrue(response.startsWith("HTTP/1.1 200"), response.substring(0, Math.min(200, response.length())));
        assertTrue(response.endsWith("0\r\n\r\n"), "incomplete after " + response.length() + " bytes");
        String body = chunkedBody(response);
        assertEquals(body.split("data: " + DATA + "\n\n", -1).length, EVENTS + 1);
    }

    /** Waits until the servers have written nothing for half a second. */
    private void awaitSteady() throws InterruptedException {
        long before = -1;
        while (before != writtenBytes.get()) {
            before = writtenBytes.get();
            Thread.sleep(500);
        }
    }

    private static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < endNanos, "condition not met within the timeout");
            Thread.sleep(2);
        }
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(5, TimeUnit.SECONDS);
    }

    private static long heapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private static long residentKb() throws IOException {
        return Files.readAllLines(Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .sum();
    }
}
