package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that only a refusal of the request itself counts as a statement that it was not executed. */
public final class RepeatedRefusalTest extends ForwarderFixture {
    @DataProvider
    public Object[][] copies() {
        String refusal = "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n";
        return new Object[][] {{refusal + "id: refused\r\n\r\n"}, {refusal + "\r\n"}};
    }

    /**
     * Guards against a request that runs a second time, or is refused as not run although it has run, because its server
     * wrote an earlier refusal again on a kept connection.
     */
    @Test(dataProvider = "copies")
    public void refusalWrittenAgainDoesNotCountForTheNextRequest(String copy) throws Exception {
        List<String> executed = Collections.synchronizedList(new ArrayList<>());
        ScriptedServer.Script script = (request, out, socket) -> {
            String id = request.header("id");
            if (id.equals("refused")) {
                respond(out, "503 Service Unavailable", request, "not-run: 1\r\n", "");
                return;
            }
            executed.add(id);
            out.write(copy.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(50);
            respond(out, "200 OK", request, SIGNED, "ok");
        };
        startServer(script);
        startServer(script);
        assertTrue(sendRequest(getRequest("/unsafe/", "refused")).startsWith("HTTP/1.1 503"));
        for (int i = 0; i < 10; i++) {
            String response = sendRequest(getRequest("/unsafe/", "r" + i));
            assertTrue(response.startsWith("HTTP/1.1 200") || response.startsWith("HTTP/1.1 502"), response);
            assertEquals(Collections.frequency(executed, "r" + i), 1);
        }
    }

    /** Guards against a connection that goes on being used after it has brought an answer that belongs to no request. */
    @Test
    public void connectionThatBroughtAForeignResponseIsNotUsedAgain() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> {
            out.write("HTTP/1.1 503 Service Unavailable\r\nid: other\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            respond(out, "200 OK", request, SIGNED, "ok");
        });
        for (int i = 0; i < 5; i++) {
            assertTrue(sendRequest(getRequest("/unsafe/", "r" + i)).endsWith("ok"));
        }
        assertEquals(server.connections.get(), 5);
    }

    /** Guards against a request that is sent on a connection on which the answer to the one before may still come. */
    @Test
    public void connectionThatBroughtAResponseWithoutAnIdIsNotUsedAgain() throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> {
            if (request.header("id").equals("first")) {
                out.write("HTTP/1.1 200 OK\r\nsigned: x\r\ncontent-length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                out.flush();
                Thread.sleep(50);
            }
            respond(out, "200 OK", request, SIGNED, "ok");
        });
        assertTrue(sendRequest(getRequest("/unsafe/", "first")).startsWith("HTTP/1.1 502"));
        assertTrue(sendRequest(getRequest("/unsafe/", "second")).endsWith("ok"));
        assertEquals(server.connections.get(), 2);
    }

    @DataProvider
    public Object[][] promises() {
        return new Object[][] {
            {"408 Request Timeout"}, {"421 Misdirected Request"}, {"429 Too Many Requests"}, {"503 Service Unavailable"}
        };
    }

    /** Guards against a client that is told that its request has not run although only its server's status suggests so. */
    @Test(dataProvider = "promises")
    public void statusThatPromisesNotRunIsPassedOnOnlyWithTheServersStatement(String status) throws Exception {
        ScriptedServer server = startServer((request, out, socket) -> respond(out, status, request, SIGNED, "x"));
        String response = sendRequest(getRequest("/unsafe/", "1"));
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
        assertEquals(server.requests.size(), 1);
    }
}
