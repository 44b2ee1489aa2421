package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.routes.ConfigFreshness;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.CustomerDirectory;
import org.celerygw.core.routes.RateLimit;
import org.celerygw.core.routes.Route;
import org.celerygw.core.routes.RouteKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class AuthenticationTest extends ForwarderFixture {
    private final Queue<ScriptedServer.ReceivedRequest> received = new ConcurrentLinkedQueue<>();

    @BeforeMethod
    public void startEngine() throws Exception {
        received.clear();
        startServer((request, out, socket) -> {
            received.add(request);
            if (request.requestLine().contains("/turn/")) {
                respondWithEvents(request, out, "ev");
            } else {
                respond(out, "200 OK", request, SIGNED, "body");
            }
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

    /** Guards against removed keys that a host without store and peers accepts although revocation is strict. */
    @Test
    public void unconfirmedHostRefusesKnownKeysIfRevocationIsStrict() {
        configure("k1");
        ConfigFreshness strict = new ConfigFreshness(5_000, true);
        AtomicInteger asked = new AtomicInteger();
        Authenticator authenticator = new Authenticator(strict, asked::incrementAndGet);
        Route closed = routes.find("h", "/safe/").orElseThrow();
        Credentials known = new Credentials(Optional.of("k1"));
        strict.recordStoreAnswer(10_000);
        Authenticator.Decision confirmed = authenticator.authenticate(known, closed, routes, 14_999);
        assertEquals(confirmed.customer().orElseThrow().id().value(), "t1");
        Authenticator.Decision late = authenticator.authenticate(known, closed, routes, 15_000);
        assertEquals(late.refusal().orElseThrow().status(), 503);
        assertEquals(asked.get(), 1);
        assertEquals(
                authenticator
                        .authenticate(Credentials.NONE, closed, routes, 15_000)
                        .refusal()
                        .orElseThrow()
                        .status(),
                401);
    }

    /** Guards against a key that a public route passes on as a customer's, and against refusals there. */
    @Test
    public void publicRouteServesWithoutKeyAndKnowsTheCustomerByIt() {
        configure("k1");
        Authenticator authenticator = new Authenticator(new ConfigFreshness(5_000, false), () -> {});
        Route open = new Route("o", "h", "/o/", RouteKind.SAFE, List.of(), 1, 1, 0, 1, false, false, false, 0, true);
        for (String key : List.of("unknown", "k1")) {
            Authenticator.Decision decision =
                    authenticator.authenticate(new Credentials(Optional.of(key)), open, routes, 0);
            assertTrue(decision.refusal().isEmpty());
            assertEquals(decision.customer().isPresent(), key.equals("k1"));
        }
        assertTrue(authenticator
                .authenticate(Credentials.NONE, open, routes, 0)
                .refusal()
                .isEmpty());
    }

    /** Guards against a customer that reads the turns of another one, or spends the budget of a program of the same id. */
    @Test
    public void customersShareNeitherTurnsNorBudgets() throws Exception {
        configure("k1", "k2");
        assertTrue(sendRequest(turn("a", "k1", "")).startsWith("HTTP/1.1 200"));
        assertTrue(sendRequest(turn("b", "k1", "")).startsWith("HTTP/1.1 402"));
        String foreign = sendRequest(turn("c", "k2", "a"));
        String missing = sendRequest(turn("d", "k2", "none"));
        assertTrue(foreign.startsWith("HTTP/1.1 404"), foreign);
        assertEquals(foreign, missing);
        assertTrue(sendRequest(turn("e", "k2", "")).startsWith("HTTP/1.1 200"));
    }

    private static String turn(String id, String key, String previous) {
        return "POST /turn/ HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nprogram: p\r\nbudget: 10\r\nmax: 8\r\nkey: " + key
                + (previous.isEmpty() ? "" : "\r\nprevious: " + previous) + "\r\ncontent-length: 1\r\n\r\nx";
    }

    private void confirm() {
        freshness.recordStoreAnswer(clock.nowMs());
    }

    /** Configures one customer per key: t1, t2, and so on. */
    private void configure(String... keys) {
        List<CustomerDirectory.Entry> entries = IntStream.range(0, keys.length)
                .mapToObj(i -> new CustomerDirectory.Entry(
                        new Customer(new CustomerId("t" + (i + 1)), OptionalInt.empty(), RateLimit.NONE),
                        List.of(keys[i])))
                .toList();
        routes = routeTable(new CustomerDirectory(entries, true));
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
