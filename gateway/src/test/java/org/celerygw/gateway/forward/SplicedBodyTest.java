package org.celerygw.gateway.forward;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a response into whose body another one has run is not taken for a whole one. */
public final class SplicedBodyTest extends ForwarderFixture {
    private static final String BODY = "b".repeat(400);

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {{0}, {1}, {200}, {380}, {399}};
    }

    /** Guards against a success whose body was broken off and filled up by a second response, with or without a length. */
    @Test(dataProvider = "lengths")
    public void bodyFilledUpByASecondResponseIsNoSuccess(int length) throws Exception {
        startServer((request, out, socket) -> {
            String head =
                    "HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\ncontent-length: 400\r\n\r\n";
            out.write((head + BODY.substring(0, length)).getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(50);
            out.write((head + BODY).getBytes(StandardCharsets.US_ASCII));
        });
        String response = sendRequest(getRequest("/short/", "1"));
        assertTrue(response.startsWith("HTTP/1.1 502") || response.startsWith("HTTP/1.1 504"), response);
    }

    /** Guards against a content type that a server may send on any route and that would end the search for a second head. */
    @Test
    public void bodyThatCallsItselfAnEventStreamIsSearchedToo() throws Exception {
        startServer((request, out, socket) -> {
            String head = "HTTP/1.1 200 OK\r\nid: " + request.header("id")
                    + "\r\nsigned: x\r\ncontent-type: text/event-stream\r\ncontent-length: 400\r\n\r\n";
            out.write((head + BODY.substring(0, 100)).getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(50);
            out.write((head + BODY).getBytes(StandardCharsets.US_ASCII));
        });
        assertTrue(sendRequest(getRequest("/short/", "1")).startsWith("HTTP/1.1 502"));
    }

    /** Guards against a response to HEAD that fails, or brings bytes behind it, because its length is taken for a body's. */
    @Test
    public void responseToHeadHasNoBody() throws Exception {
        startServer((request, out, socket) -> out.write(
                ("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\ncontent-length: 4\r\n\r\n"
                                + (request.header("id").equals("extra") ? "HTTP" : ""))
                        .getBytes(StandardCharsets.US_ASCII)));
        for (String id : new String[] {"plain", "extra", "next"}) {
            String response = sendRequest(getRequest("/short/", id).replace("GET", "HEAD"));
            assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("\r\n\r\n"), response);
        }
    }

    /** Guards against a response without a length to whose body a second one is added. */
    @Test
    public void secondResponseBehindABodyWithoutALengthIsNoSuccess() throws Exception {
        startServer((request, out, socket) -> {
            String answer = "HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\n\r\n" + BODY;
            out.write(answer.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(50);
            out.write(answer.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.shutdownOutput();
        });
        String response = sendRequest(getRequest("/short/", "1"));
        assertTrue(response.startsWith("HTTP/1.1 502"), response);
    }

    /** Guards against an event into which bytes have run that a chunk does not hold, as its end shows. */
    @Test
    public void eventOfAChunkThatDoesNotEndWhereItShouldIsNotDelivered() throws Exception {
        startServer((request, out, socket) -> {
            String head = "HTTP/1.1 200 OK\r\nid: " + request.header("id")
                    + "\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            writeChunk(out, "id: 1\ndata: one\n\n");
            out.flush();
            Thread.sleep(50);
            String events = "id: 2\ndata: two\n\nid: 3\ndata: three\n\n";
            out.write((Integer.toHexString(events.length()) + "\r\n" + events.replace("two", "HTtwo") + "\r\n0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        });
        String response = sendRequest(getRequest("/stream/", "1"));
        assertTrue(response.contains("data: one") && !response.contains("HT" + "two"), response);
        assertTrue(!response.endsWith("0\r\n\r\n"), response);
    }

    /** A whole response counts whatever stands behind it, and a body may quote a response of another kind. */
    @Test
    public void wholeBodyCounts() throws Exception {
        String body = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nquoted";
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\ncontent-length: "
                            + body.length() + "\r\n\r\n" + body + "HTTP/1.1 200 OK\r\nid: " + request.header("id")
                            + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        });
        assertTrue(sendRequest(getRequest("/short/", "1")).endsWith(body));
    }
}
