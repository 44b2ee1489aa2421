package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a client gets of a stream that breaks off when the next server answers with something else. */
public final class BrokenStreamTest extends ForwarderFixture {
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    @DataProvider
    public Object[][] answersToResumption() {
        return new Object[][] {
            {"500 Internal Server Error", SIGNED, "error text\n\n"},
            {"500 Internal Server Error", "", "id: 2\ndata: error\n\n"},
            {"404 Not Found", SIGNED, "id: 2\ndata: error\n\n"},
            {"503 Service Unavailable", SIGNED, "error text"},
            {"503 Service Unavailable", "not-run: 1\r\n", "error text"},
            {"304 Not Modified", SIGNED, ""},
            {"200 OK", "", "id: 2\ndata: unsigned\n\n"},
            {"200 OK", SIGNED, "{\"error\":\"text\"}"},
            {"200 OK", SIGNED, "{\"error\":\"text\"}\n\n"},
            {"200 OK", SIGNED, "HTTP/1.1 500 Internal Server Error\r\nid: 2\r\n\r\n"},
            {"200 OK", SIGNED, "data: no id\n\n"},
        };
    }

    /** Guards against the text or the head of a server's error in the middle of a stream that another server began. */
    @Test(dataProvider = "answersToResumption")
    public void answerThatIsNoStreamEndsTheStreamAsBroken(String status, String headers, String body) throws Exception {
        ScriptedServer.Script script = (request, out, socket) -> {
            if (request.header("last-event").isEmpty()) {
                writeStreamHead(request, out);
                writeChunk(out, FIRST_EVENT);
                out.flush();
                socket.close();
            } else {
                respond(out, status, request, headers, body);
            }
        };
        startServer(script);
        startServer(script);
        assertBrokenAfterFirstEvent(sendRequest(getRequest("/resume/", "1")));
    }

    @DataProvider
    public Object[][] partsOfAResumption() {
        String head = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n";
        return IntStream.rangeClosed(0, head.length())
                .boxed()
                .flatMap(length -> Stream.of(false, true).map(reset -> new Object[] {head.substring(0, length), reset}))
                .toArray(Object[][]::new);
    }

    /** Guards against a stream that ends as complete when the server that goes on with it breaks off in its head. */
    @Test(dataProvider = "partsOfAResumption")
    public void headThatBreaksOffDoesNotEndAResumedStream(String part, boolean reset) throws Exception {
        ScriptedServer.Script script = (request, out, socket) -> {
            if (request.header("last-event").isEmpty()) {
                writeStreamHead(request, out);
                writeChunk(out, FIRST_EVENT);
            } else {
                out.write(part.getBytes(StandardCharsets.US_ASCII));
                socket.setSoLinger(reset, 0);
            }
            out.flush();
            socket.close();
        };
        startServer(script);
        startServer(script);
        assertBrokenAfterFirstEvent(sendRequest(getRequest("/resume/", "1")));
    }

    @DataProvider
    public Object[][] bytesInAStream() {
        String head = "HTTP/1.1 500 Internal Server Error\r\nid: 1\r\ncontent-length: 5\r\n\r\nerror";
        return new Object[][] {
            {head},
            {head + "\n\n"},
            {"id: 2\ndata: b" + head + "\n\n"},
            {"id: 2\ndata: bHTTP/1.1 500 Internal Server Error\r\n\r\n"},
            {"id: 2\n" + head + "\n\n"},
            {"error text\n\n"},
            {"id: x\ndata: b\n\n"},
            {"id: 0\ndata: b\n\n"},
        };
    }

    /** Guards against a server that stops in the middle of its stream and writes an error into it. */
    @Test(dataProvider = "bytesInAStream")
    public void bytesThatAreNoEventEndTheStreamAsBroken(String bytes) throws Exception {
        startServer((request, out, socket) -> {
            out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: x\r\n\r\n" + FIRST_EVENT)
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(30);
            out.write(bytes.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.close();
        });
        assertBrokenAfterFirstEvent(sendRequest(getRequest("/stream/", "1")));
    }

    /** A first line with another field and a number is part of an event, and so are comments. */
    @Test
    public void eventsWithAnExtraNumericFieldOrACommentArePassedOn() throws Exception {
        String events = "weights: 7\nid: 1\ndata: a\n\n: comment\nid: 2\nevent: e\ndata: b\ndata: c\n\n";
        startServer((request, out, socket) -> {
            writeStreamHead(request, out);
            writeChunk(out, events);
            out.write(LAST_CHUNK.getBytes(StandardCharsets.US_ASCII));
        });
        String response = sendRequest(getRequest("/stream/", "1"));
        assertEquals(chunkedBody(response), events);
        assertTrue(response.endsWith(LAST_CHUNK), response);
    }

    private static void assertBrokenAfterFirstEvent(String response) {
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertEquals(chunkedBody(response), FIRST_EVENT);
        assertFalse(response.endsWith(LAST_CHUNK), response);
    }

    private static void writeStreamHead(ScriptedServer.ReceivedRequest request, OutputStream out) throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id")
                        + "\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }
}
