package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.celerygw.core.scheduling.GracefulStop;
import org.testng.annotations.Test;

/** Guards against requests and connections that a host takes although it ends before they do. */
public final class StoppingHostTest extends ForwarderFixture {
    private static final long GRACE_MS = 8_000;

    /** Lets the host be in a graceful stop that began some time ago; of its grace, 700 ms are for the end. */
    private void stopSince(long elapsedMs) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        loop.execute(() -> {
            listener.stopping(true);
            forwarder.beginStop(new GracefulStop(clock.nowMs() - elapsedMs, GRACE_MS));
            begun.countDown();
        });
        assertTrue(begun.await(5, TimeUnit.SECONDS));
    }

    private static String request(String path, String id, long leftMs) {
        return getRequest(path, id).replace("left-ms: 2000", "left-ms: " + leftMs);
    }

    private ScriptedServer startUsualServer() throws Exception {
        return startServer((request, out, socket) -> {
            if (request.requestLine().contains("/stream/")) {
                respondWithEvents(request, out, "a", "b");
            } else {
                respond(out, "200 OK", request, SIGNED, "ok");
            }
        });
    }

    /** Guards against LOST: a stream or call that may last longer than the host was accepted by the average of others. */
    @Test
    public void requestThatMayOutlastTheHostIsRefusedWhateverTheAverageOfOthers() throws Exception {
        ScriptedServer server = startUsualServer();
        List<String> paths = List.of("/stream/x", "/safe/x", "/unsafe/x");
        for (String path : paths) {
            assertTrue(sendRequest(request(path, "usual", 2_000)).startsWith("HTTP/1.1 200"), path);
        }
        stopSince(6_000);
        for (String path : paths) {
            String refused = sendRequest(request(path, "long", 2_000));
            assertTrue(refused.startsWith("HTTP/1.1 503") && refused.contains("connection: close"), refused);
            assertTrue(sendRequest(request(path, "short", 700)).startsWith("HTTP/1.1 200"), path);
        }
        assertEquals(
                server.requests.stream()
                        .filter(r -> r.header("id").equals("long"))
                        .count(),
                0);
    }

    /** Guards against LOST: a client that did not know of the stop sent its next request to a host about to end. */
    @Test
    public void connectionEndsWithTheStreamThatBeganBeforeTheStop() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: before\r\n" + SIGNED + "transfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            writeChunk(out, "id: 1\ndata: a\n\n");
            stopped.await(5, TimeUnit.SECONDS);
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        });
        try (KeptClient client = new KeptClient()) {
            client.write(request("/stream/x", "before", 2_000));
            assertEquals(client.read(20).substring(0, 12), "HTTP/1.1 200");
            stopSince(0);
            stopped.countDown();
            assertTrue(client.readToEnd().endsWith("0\r\n\r\n"));
        }
    }

    /** Guards against LOST: what was received behind a request was dropped when the response to that one said it closes. */
    @Test
    public void requestsReceivedBeforeTheStopAreAllAnswered() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        ScriptedServer server = startServer((request, out, socket) -> {
            stopped.await(5, TimeUnit.SECONDS);
            respond(out, "200 OK", request, SIGNED, "ok-" + request.header("id"));
        });
        try (KeptClient client = new KeptClient()) {
            client.write(request("/unsafe/x", "one", 2_000) + request("/unsafe/x", "two", 2_000));
            awaitRequests(server, 1);
            stopSince(0);
            stopped.countDown();
            String responses = client.readToEnd();
            assertTrue(responses.contains("ok-one") && responses.endsWith("ok-two"), responses);
            assertEquals(responses.split("connection: close", -1).length, 2, responses);
        }
    }

    /** Guards against LOST: a request behind the last response, which was still being sent, ran and was cut off. */
    @Test
    public void requestBehindTheLastResponseIsNotPassedOn() throws Exception {
        String body = "x".repeat(3_000_000);
        ScriptedServer server = startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, body));
        stopSince(0);
        try (KeptClient client = new KeptClient()) {
            client.write(request("/unsafe/x", "last", 2_000));
            awaitRequests(server, 1);
            Thread.sleep(300);
            client.write(request("/unsafe/x", "late", 2_000));
            Thread.sleep(300);
            assertTrue(client.readToEnd().endsWith(body));
        }
        assertEquals(server.requests.size(), 1);
    }
}
