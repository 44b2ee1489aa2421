package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Guards against UNASKED: a request in the body of a rejected one ran when both came behind another request. */
public final class RejectedRequestTest extends ForwarderFixture {
    @Test
    public void bodyOfARejectedRequestIsNeverARequest() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> {
            Thread.sleep(300);
            respond(out, "200 OK", request, SIGNED, "ok");
        });
        String smuggled = "0\r\n\r\n" + getRequest("/unsafe/x", "smuggled");
        String twoLengths = "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nid: two-lengths\r\nleft-ms: 2000\r\nContent-Length: "
                + smuggled.length() + "\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled;
        try (KeptClient client = new KeptClient()) {
            client.write(getRequest("/unsafe/x", "first") + twoLengths);
            String responses = client.readToEnd();
            assertTrue(responses.startsWith("HTTP/1.1 200") && responses.contains("HTTP/1.1 400"), responses);
        }
        Thread.sleep(500);
        assertEquals(server.requests.stream().map(r -> r.header("id")).toList(), List.of("first"));
    }
}
