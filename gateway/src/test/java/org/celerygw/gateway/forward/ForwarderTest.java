package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.celerygw.standin.Fault;
import org.testng.annotations.Test;

/** Tests forwarding over loopback, between clients on raw sockets and backend servers with scripted responses. */
public final class ForwarderTest extends ForwarderFixture {
    private static final int MAX_REQUESTS_UNTIL_TRIED = 100;

    @Test
    public void forwardsRequestAndResponseWithoutHopByHopAndReservedHeaders() throws Exception {
        ScriptedServer server =
                startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, "the body"));
        String response = sendRequest(
                "POST /safe/a%20b?q=1 HTTP/1.1\r\nHost: h\r\nid: 1\r\nsecret: s\r\nx-own: y\r\n"
                        + "Connection: x-hop\r\nx-hop: z\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith("the body"), response);
        ScriptedServer.ReceivedRequest received = server.requests.get(0);
        assertEquals(received.requestLine(), "POST /safe/a%20b?q=1 HTTP/1.1");
        assertEquals(received.body(), "abcde");
        assertEquals(received.header("x-own"), "y");
        assertEquals(received.header("secret"), "");
        assertEquals(received.header("x-hop"), "");
        assertFalse(received.header("server").isEmpty());
        assertTrue(Long.parseLong(received.header("left-ms")) <= 2_000);
    }

    @Test
    public void refusesRequestsWithAmbiguousFramingOrHost() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, "x"));
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
            String response =
                    sendRequest("POST /safe/ HTTP/1.1\r\nHost: h\r\nid: 1\r\n" + head + "\r\n0\r\n\r\n" + smuggled);
            assertTrue(response.startsWith("HTTP/1.1 400"), head + " was answered with " + response);
        }
        assertEquals(server.requests.size(), 0);
    }

    @Test
    public void sendsUnsafeRequestOnceWhenTheResponseIsLost() throws Exception {
        ScriptedServer first = startServer((request, out, socket) -> socket.close());
        ScriptedServer second = startServer((request, out, socket) -> socket.close());
        String response = sendRequest(getRequest("/unsafe/", "1"));
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertEquals(first.requests.size() + second.requests.size(), 1);
    }

    @Test
    public void retriesSafeRequestAtAnotherServerWhenTheResponseIsLost() throws Exception {
        ScriptedServer first = startServer((request, out, socket) -> socket.close());
        ScriptedServer second = startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, "ok"));
        int sent = sendUntilTried("/safe/", first);
        assertTrue(first.requests.size() >= 1);
        assertEquals(second.requests.size(), sent);
    }

    /** Sends at least 8 requests, and more until a server was tried: the ports decide which server a request prefers. */
    private int sendUntilTried(String path, ScriptedServer server) throws Exception {
        int sent = 0;
        while (sent < 8 || (server.requests.isEmpty() && sent < MAX_REQUESTS_UNTIL_TRIED)) {
            assertTrue(sendRequest(getRequest(path, "r" + sent)).endsWith("ok"));
            sent++;
        }
        return sent;
    }

    @Test
    public void retriesUnsafeRequestThatWasNotExecuted() throws Exception {
        ScriptedServer first = startServer(
                (request, out, socket) -> respond(out, "503 Service Unavailable", request, "not-run: 1\r\n", ""));
        ScriptedServer second = startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, "ok"));
        int sent = sendUntilTried("/unsafe/", first);
        assertEquals(second.requests.size(), sent);
        assertTrue(first.requests.size() >= 1);
    }

    @Test
    public void refusalHasRetryAfterWhenNoServerAcceptsTheRequest() throws Exception {
        startServer((request, out, socket) ->
                respond(out, "503 Service Unavailable", request, "not-run: 1\r\nsigned: x\r\n", ""));
        String response = sendRequest(getRequest("/unsafe/", "1"));
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("retry-after: "), response);
        assertFalse(response.contains("signed"), response);
    }

    @Test
    public void requestWaitsUntilAFullEngineHasRoom() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer server = startServer((request, out, socket) -> {
            release.await();
            respond(out, "200 OK", request, SIGNED, "ok");
        });
        List<CompletableFuture<String>> running = fillEngine(server);
        CompletableFuture<String> waiting = sendInBackground(getRequest("/unsafe/", "waiting"));
        Thread.sleep(200);
        assertEquals(server.requests.size(), ENGINE_ROOM);
        release.countDown();
        assertTrue(waiting.get().endsWith("ok"), waiting.get());
        for (CompletableFuture<String> response : running) {
            assertTrue(response.get().endsWith("ok"), response.get());
        }
    }

    @Test
    public void requestIsRefusedAndNotSentWhenEnginesStayFullUntilItCannotBeAnswered() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer server = startServer((request, out, socket) -> {
            release.await();
            respond(out, "200 OK", request, SIGNED, "ok");
        });
        List<CompletableFuture<String>> running = fillEngine(server);
        long startNs = System.nanoTime();
        String response = sendRequest("GET /unsafe/ HTTP/1.1\r\nHost: h\r\nid: new\r\nleft-ms: 800\r\nprogram: p\r\n"
                + "program-left-ms: 5000\r\n\r\n");
        long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertTrue(response.contains("retry-after: "), response);
        assertTrue(waitedMs < 800, "refused after " + waitedMs + " ms of 800 ms");
        release.countDown();
        for (CompletableFuture<String> answered : running) {
            assertTrue(answered.get().endsWith("ok"), answered.get());
        }
        assertEquals(server.requests.size(), ENGINE_ROOM);
    }

    private List<CompletableFuture<String>> fillEngine(ScriptedServer server) throws InterruptedException {
        List<CompletableFuture<String>> running = IntStream.range(0, ENGINE_ROOM)
                .mapToObj(i -> sendInBackground(getRequest("/unsafe/", "running" + i)))
                .toList();
        while (server.requests.size() < ENGINE_ROOM) {
            Thread.sleep(5);
        }
        return running;
    }

    @Test
    public void skipsLateResponseToAnotherRequest() throws Exception {
        startServer((request, out, socket) -> {
            out.write("HTTP/1.1 200 OK\r\nid: other\r\nsigned: x\r\ncontent-length: 5\r\n\r\nwrong"
                    .getBytes(StandardCharsets.US_ASCII));
            respond(out, "200 OK", request, SIGNED, "right");
        });
        assertTrue(sendRequest(getRequest("/unsafe/", "1")).endsWith("right"));
    }

    @Test
    public void closesConnectionWithBytesAfterTheResponse() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> {
            // A single write, so that the gateway reads both responses at once.
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            respond(both, "200 OK", request, SIGNED, request.header("id"));
            respond(both, "200 OK", request, SIGNED, "extra");
            out.write(both.toByteArray());
        });
        for (int i = 0; i < 5; i++) {
            assertTrue(sendRequest(getRequest("/unsafe/", "r" + i)).endsWith("r" + i));
        }
        assertEquals(server.connections.get(), 5);
    }

    @Test
    public void rejectsSuccessWithoutSignatureOrWithContentCoding() throws Exception {
        startServer((request, out, socket) -> respond(
                out,
                "200 OK",
                request,
                request.requestLine().contains("coded") ? SIGNED + "content-encoding: gzip\r\n" : "",
                "x"));
        assertTrue(sendRequest(getRequest("/unsafe/", "1")).startsWith("HTTP/1.1 502"));
        assertTrue(sendRequest(getRequest("/unsafe/coded", "2")).startsWith("HTTP/1.1 502"));
    }

    @Test
    public void responseWithoutLengthEndsAtCloseAndIsLostOnReset() throws Exception {
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\n\r\ncomplete body")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(50);
            if (request.requestLine().contains("reset")) {
                socket.setSoLinger(true, 0);
            }
            socket.close();
        });
        assertTrue(sendRequest(getRequest("/unsafe/closed", "1")).endsWith("complete body"));
        assertTrue(sendRequest(getRequest("/unsafe/reset", "2")).startsWith("HTTP/1.1 502"));
    }

    @Test
    public void doesNotForwardTruncatedResponse() throws Exception {
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id")
                            + "\r\nsigned: x\r\ncontent-length: 50\r\n\r\nhalf")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.close();
        });
        assertTrue(sendRequest(getRequest("/unsafe/", "1")).startsWith("HTTP/1.1 502"));
    }

    @Test
    public void resumesStreamAtAnotherServerAfterTheLastCompleteEvent() throws Exception {
        ScriptedServer.Script script = (request, out, socket) -> {
            boolean resumed = !request.header("last-event").isEmpty();
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: " + (resumed ? "two" : "one")
                            + "\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            if (resumed) {
                writeChunk(out, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            } else {
                writeChunk(out, "id: 1\ndata: a\n\nid: 2\ndata: b");
                out.flush();
                socket.close();
            }
        };
        startServer(script);
        startServer(script);
        String response = sendRequest(getRequest("/resume/", "1"));
        assertTrue(response.contains("signed: one"), response);
        assertEquals(chunkedBody(response), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    @Test
    public void abortsBrokenStreamThatIsNotResumable() throws Exception {
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            writeChunk(out, "id: 1\ndata: a\n\n");
            out.flush();
            socket.close();
        });
        String response = sendRequest(getRequest("/stream/", "1"));
        assertEquals(chunkedBody(response), "id: 1\ndata: a\n\n");
        assertFalse(response.endsWith("0\r\n\r\n"), response);
    }

    @Test
    public void sendsStoredTurnsBeforeNewInput() throws Exception {
        ScriptedServer server =
                startServer((request, out, socket) -> respondWithEvents(request, out, "x" + request.header("id"), "y"));
        sendRequest(turnRequest("a", "", "in1,"));
        sendRequest(turnRequest("b", "a", "in2,"));
        String last = sendRequest(turnRequest("c", "b", "in3"));
        assertTrue(last.endsWith("0\r\n\r\n"), last);
        assertEquals(server.requests.get(2).body(), "in1,xa\ny\nin2,xb\ny\nin3");
        assertTrue(sendRequest(turnRequest("d", "none", "in")).startsWith("HTTP/1.1 404"));
        assertEquals(server.requests.size(), 3);
    }

    @Test
    public void refusesTurnThatExceedsTheBudgetWithoutExecution() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> respondWithEvents(request, out, "x"));
        assertTrue(sendRequest(turnRequest("a", "", "in")).startsWith("HTTP/1.1 200"));
        assertTrue(sendRequest(turnRequest("b", "a", "in").replace("max: 10", "max: 100"))
                .startsWith("HTTP/1.1 402"));
        assertEquals(server.requests.size(), 1);
    }

    @Test
    public void refusesTurnWhileTheStoreIsUnavailable() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> respondWithEvents(request, out, "x"));
        storeFaults.injectAlways(Fault.DOWN);
        sendRequest(turnRequest("a", "", "in").replace("left-ms: 2000", "left-ms: 300"));
        int requestsBefore = server.requests.size();
        String response = sendRequest(turnRequest("b", "", "in").replace("left-ms: 2000", "left-ms: 300"));
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertEquals(server.requests.size(), requestsBefore);
    }

    /** The route's target latency is 100 ms: a turn not sent 100 ms before its deadline cannot be answered in time. */
    @Test
    public void refusesTurnOnceItCanNoLongerMeetItsDeadline() throws Exception {
        startServer((request, out, socket) -> respondWithEvents(request, out, "x"));
        storeFaults.injectAlways(Fault.DOWN);
        sendRequest(turnRequest("a", "", "in").replace("left-ms: 2000", "left-ms: 300"));
        String response = sendRequest(turnRequest("b", "", "in"));
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        // A refusal at the deadline has a retry-after of 0.15 s, one for an unavailable store of 0.3 to 0.6 s.
        assertTrue(response.matches("(?s).*retry-after: 0\\.[3-5].*"), response);
    }

    @Test
    public void cancelsStreamAtTheServerWhenTheClientDisconnects() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            writeChunk(out, "id: 1\ndata: a\n\n");
            out.flush();
            if (socket.getInputStream().read() < 0) {
                stopped.countDown();
            }
        });
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.getOutputStream().write(getRequest("/stream/", "1").getBytes(StandardCharsets.US_ASCII));
            assertTrue(client.getInputStream().read() > 0);
        }
        assertTrue(stopped.await(5, TimeUnit.SECONDS));
    }

    @Test
    public void retriesSafeRequestWhenTheServerIsSilent() throws Exception {
        ScriptedServer silent = startServer((request, out, socket) -> Thread.sleep(60_000));
        startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, "ok"));
        sendUntilTried("/safe/", silent);
        assertTrue(silent.requests.size() >= 1);
    }

    @Test
    public void resumesStreamAtAnotherServerWhenTheServerBecomesSilent() throws Exception {
        ScriptedServer.Script script = (request, out, socket) -> {
            boolean resumed = !request.header("last-event").isEmpty();
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\n"
                            + "transfer-encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            writeChunk(out, resumed ? "id: 2\ndata: b\n\n" : "id: 1\ndata: a\n\n");
            out.flush();
            if (!resumed) {
                Thread.sleep(60_000);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        };
        startServer(script);
        startServer(script);
        assertEquals(chunkedBody(sendRequest(getRequest("/resume/", "1"))), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    }

    @Test
    public void sendsFewRequestsToAPartlyFailingServer() throws Exception {
        int[] requestCount = new int[1];
        ScriptedServer failing = startServer((request, out, socket) -> respond(
                out, requestCount[0]++ % 2 == 0 ? "500 Internal Server Error" : "200 OK", request, SIGNED, "ok"));
        ScriptedServer healthy = startServer((request, out, socket) -> respond(out, "200 OK", request, SIGNED, "ok"));
        for (int i = 0; i < 60; i++) {
            sendRequest(getRequest("/unsafe/", "r" + i));
        }
        assertTrue(failing.requests.size() >= 2, "the failing server received fewer than 2 requests");
        assertTrue(
                failing.requests.size() <= 15,
                "the failing server received more than 15 requests: " + failing.requests.size());
        assertEquals(failing.requests.size() + healthy.requests.size(), 60);
    }

    @Test
    public void failsUnansweredRequestAtTheRouteTimeout() throws Exception {
        startServer((request, out, socket) -> Thread.sleep(5_000));
        assertTrue(sendRequest(getRequest("/short/", "1")).startsWith("HTTP/1.1 504"));
    }

    private static String turnRequest(String id, String previous, String input) {
        String previousHeader = previous.isEmpty() ? "" : "previous: " + previous + "\r\n";
        return "POST /turn/ HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nprogram: p\r\nbudget: 50\r\nmax: 10\r\n"
                + "left-ms: 2000\r\n" + previousHeader + "Content-Length: " + input.length() + "\r\n\r\n" + input;
    }
}
