package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.CustomerDirectory;
import org.celerygw.core.routes.RateLimit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class AuthenticationTest extends ForwarderFixture {
    private final Queue<ScriptedServer.ReceivedRequest> received = new ConcurrentLinkedQueue<>();

    @BeforeMethod
    public void startEngine() throws Exception {
        received.clear();
        startServer((request, out, socket) -> {
            received.add(request);
            respond(out, "200 OK", request, SIGNED, "body");
        });
    }

    /** Guards against keys and forged customers that reach a server. */
    @Test
    public void serverLearnsTheCustomerAndNeverTheKey() throws Exception {
        configure("k1");
        String response = sendRequest(request("a", "key: k1\r\ncustomer: other\r\n"));
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        ScriptedServer.ReceivedRequest request = received.remove();
        assertEquals(request.header("customer"), "t1");
        assertEquals(request.header("key"), "");
    }

    /** Guards against a key that is rejected although a newer configuration may contain it, and against the opposite. */
    @Test
    public void unknownKeyIsRejectedOnlyByAConfirmedConfiguration() throws Exception {
        configure("k1");
        String unsure = sendRequest(request("a", "key: new\r\n"));
        assertTrue(unsure.startsWith("HTTP/1.1 503") && unsure.contains("retry-after"), unsure);
        confirm();
        String unknown = sendRequest(request("b", "key: new\r\n"));
        assertTrue(unknown.startsWith("HTTP/1.1 401") && unknown.contains("www-authenticate: Bearer"), unknown);
        assertTrue(sendRequest(request("c", "")).startsWith("HTTP/1.1 401"));
        assertTrue(received.isEmpty());
    }

    /** Guards against a removed key that stays valid on a connection opened before. */
    @Test
    public void removedKeyIsRejectedOnAnOpenConnection() throws Exception {
        configure("k1");
        confirm();
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.setSoTimeout(5_000);
            assertEquals(status(client, request("a", "key: k1\r\n")), "200");
            configure("k2");
            assertEquals(status(client, request("b", "key: k1\r\n")), "401");
            assertEquals(status(client, request("c", "key: k2\r\n")), "200");
        }
        assertFalse(received.stream().anyMatch(r -> "b".equals(r.header("id"))));
    }

    private void confirm() {
        freshness.recordStoreAnswer(clock.nowMs());
    }

    private void configure(String key) {
        Customer customer = new Customer(new CustomerId("t1"), OptionalInt.empty(), RateLimit.NONE);
        routes = routeTable(new CustomerDirectory(List.of(new CustomerDirectory.Entry(customer, List.of(key))), true));
    }

    private static String request(String id, String headers) {
        return "GET /safe/x HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nleft-ms: 2000\r\n" + headers + "\r\n";
    }

    /** Sends a request and reads its response, whose body has at most one line. */
    private static String status(Socket client, String request) throws IOException {
        OutputStream out = client.getOutputStream();
        out.write(request.getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder response = new StringBuilder();
        while (!response.toString().contains("\r\n\r\n")) {
            response.append((char) client.getInputStream().read());
        }
        int length = response.indexOf("content-length: ") + "content-length: ".length();
        int bodyBytes = Integer.parseInt(response.substring(length, response.indexOf("\r\n", length)));
        client.getInputStream().readNBytes(bodyBytes);
        return response.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3);
    }
}
