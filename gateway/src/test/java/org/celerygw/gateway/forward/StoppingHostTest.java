package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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
}
