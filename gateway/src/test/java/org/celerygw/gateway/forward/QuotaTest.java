package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.routes.Customer;
import org.celerygw.core.routes.CustomerDirectory;
import org.celerygw.core.routes.RateLimit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests over a customer's quota that reach a server, and tokens spent on requests that did not run. */
public final class QuotaTest extends ForwarderFixture {
    private final AtomicInteger shed = new AtomicInteger();
    private final AtomicInteger received = new AtomicInteger();

    @BeforeMethod
    public void startServers() throws Exception {
        shed.set(0);
        received.set(0);
        for (int i = 0; i < 2; i++) {
            startServer((request, out, socket) -> {
                received.incrementAndGet();
                boolean busy = shed.getAndDecrement() > 0;
                respond(out, busy ? "503 Busy" : "200 OK", request, SIGNED + (busy ? "not-run: 1\r\n" : ""), "body");
            });
        }
        Customer customer = new Customer(new CustomerId("t1"), OptionalInt.empty(), new RateLimit(0.5, 4));
        routes = routeTable(new CustomerDirectory(List.of(new CustomerDirectory.Entry(customer, List.of("k1"))), true));
    }

    @Test
    public void requestOverTheQuotaIsRefusedWithTheTimeOfItsReturn() throws Exception {
        assertStatus("200", send("a"));
        String refused = send("b");
        assertStatus("429", refused);
        double retryAfterS = Double.parseDouble(refused.replaceAll("(?s).*retry-after: ([0-9.]+).*", "$1"));
        assertTrue(retryAfterS > 1 && retryAfterS < 5, refused);
        assertEquals(received.get(), 1);
    }

    @Test
    public void requestThatNoServerRanCostsNothing() throws Exception {
        shed.set(2);
        assertStatus("503", send("a"));
        shed.set(0);
        assertStatus("200", send("b"));
        assertStatus("429", send("c"));
    }

    @Test
    public void retryAfterARejectionUsesTheSameToken() throws Exception {
        shed.set(1);
        assertStatus("200", send("a"));
        assertEquals(received.get(), 2);
        assertStatus("429", send("b"));
    }

    private String send(String id) throws Exception {
        return sendRequest("GET /safe/x HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nleft-ms: 500\r\nkey: k1\r\n\r\n");
    }

    private static void assertStatus(String status, String response) {
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    }
}
