package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that what a server writes beside the answer to a request never becomes a part of it. */
public final class SecondAnswerTest extends ForwarderFixture {
    private static final String ID_FIRST =
            "HTTP/1.1 200 OK\r\nid: earlier\r\nsigned: x\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok";
    private static final String ID_LAST =
            "HTTP/1.1 200 OK\r\ndate: today\r\ncontent-type: text/plain\r\nsigned: x\r\nid: earlier\r\ncontent-length: 2\r\n\r\nok";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nsigned: x\r\nid: earlier\r\n\r\n2\r\nok\r\n0\r\n\r\n";

    private enum Moment {
        WITH_THE_ANSWER_BEFORE,
        BEFORE_THE_NEXT_ANSWER
    }

    @DataProvider
    public Object[][] copies() {
        List<Object[]> cases = new ArrayList<>();
        for (String copy : List.of(ID_FIRST, ID_LAST, CHUNKED)) {
            for (Moment moment : Moment.values()) {
                cases.add(new Object[] {copy, moment});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a client that gets the status of a second answer, broken off in its head, for its own failure. */
    @Test(dataProvider = "copies")
    public void failureIsNoSuccessAfterTheBeginningOfAnotherAnswer(String copy, Moment moment) throws Exception {
        List<String> successes = new ArrayList<>();
        for (int length = 1; length <= copy.length(); length++) {
            String part = copy.substring(0, length);
            try (ScriptedServer server = startServer((request, out, socket) -> answer(request, out, part, moment))) {
                sendRequest(getRequest("/short/", "first" + length));
                String answer = sendRequest(getRequest("/short/", "fails" + length));
                if (answer.startsWith("HTTP/1.1 2")) {
                    successes.add("after '" + part + "': " + answer);
                }
            }
        }
        assertEquals(successes, List.of());
    }

    /** Guards against requests that are held as harmful because their servers write more than their answers. */
    @Test
    public void requestsAreNotBlamedForServersThatWriteMoreThanOneAnswer() throws Exception {
        for (int i = 0; i < 4; i++) {
            startServer((request, out, socket) -> {
                out.write("HTTP/1.1 200 OK\r\nfoo: b".getBytes(StandardCharsets.US_ASCII));
                respond(out, "200 OK", request, SIGNED, "ok");
            });
        }
        for (int i = 0; i < 4; i++) {
            String response = sendRequest(getRequest("/unsafe/", "r" + i));
            assertTrue(response.startsWith("HTTP/1.1 502"), response);
        }
    }

    /** Guards against a sound response that is refused because a field names a version before an address. */
    @Test
    public void addressBehindAVersionIsNoStatusLine() throws Exception {
        startServer((request, out, socket) ->
                respond(out, "200 OK", request, SIGNED + "via: HTTP/1.1 192.168.0.7:8080\r\n", "ok"));
        assertTrue(sendRequest(getRequest("/unsafe/", "1")).endsWith("ok"));
    }

    private static void answer(ScriptedServer.ReceivedRequest request, OutputStream out, String part, Moment moment)
            throws IOException {
        boolean fails = request.header("id").startsWith("fails");
        String status = fails ? "500 Internal Server Error" : "200 OK";
        String answer = "HTTP/1.1 " + status + "\r\nid: " + request.header("id")
                + "\r\nsigned: x\r\ncontent-length: 2\r\n\r\nno";
        if (fails && moment == Moment.BEFORE_THE_NEXT_ANSWER) {
            out.write(part.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }
        boolean together = !fails && moment == Moment.WITH_THE_ANSWER_BEFORE;
        out.write((together ? answer + part : answer).getBytes(StandardCharsets.US_ASCII));
    }
}
