package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.celerygw.gateway.net.HttpListener;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a stream goes on only at servers of the software version that began it. */
public final class ResumedStreamTest extends ForwarderFixture {
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Guards against a stream that is joined from two software versions within one answer. */
    @Test
    public void brokenStreamGoesOnAtAServerOfItsVersion() throws Exception {
        startServer("v1", breaksAfterFirstEvent("v1"));
        startServer("v1", breaksAfterFirstEvent("v1"));
        ScriptedServer other = startServer("v2", breaksAfterFirstEvent("v2"));
        int begunAtOther = 0;
        for (int i = 0; i < 12; i++) {
            String body = chunkedBody(sendRequest(getRequest("/resume/", "r" + i)));
            if (body.contains("v2")) {
                begunAtOther++;
                assertEquals(body, "id: 1\ndata: v2\n\n");
            } else {
                assertEquals(body, "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n");
            }
        }
        assertTrue(begunAtOther < 12, "no stream began at version v1");
        assertEquals(other.requests.size(), begunAtOther);
    }

    /** Guards against a stream that goes on at another version because no server of its own is left. */
    @Test
    public void brokenStreamEndsWhereItBrokeWithoutAServerOfItsVersion() throws Exception {
        startServer("v1", breaksAfterFirstEvent("v1"));
        ScriptedServer other = startServer("v2", breaksAfterFirstEvent("v2"));
        for (int i = 0; i < 8; i++) {
            String response = sendRequest(getRequest("/resume/", "r" + i));
            assertFalse(response.endsWith(LAST_CHUNK), response);
            assertTrue(chunkedBody(response).matches("id: 1\ndata: v[12]\n\n"), response);
        }
        assertTrue(other.requests.stream().allMatch(r -> r.header("last-event").isEmpty()));
    }

    @Test
    public void streamOfWhichTheClientGotNothingRunsAnewAtAnyVersion() throws Exception {
        startServer("v1", (request, out, socket) -> {
            writeHead(request, out, "v1");
            out.flush();
            socket.close();
        });
        startServer("v2", (request, out, socket) -> respondWithEvents(request, out, "whole"));
        for (int i = 0; i < 8; i++) {
            String response = sendRequest(getRequest("/resume/", "r" + i));
            assertEquals(chunkedBody(response), "id: 1\ndata: whole\n\n");
            assertTrue(response.endsWith(LAST_CHUNK), response);
        }
    }

    @DataProvider
    public Object[][] programs() {
        return new Object[][] {{""}, {"program: p\r\nbudget: 500\r\nmax: 10\r\n"}};
    }

    /**
     * Guards against a resumed stream that is joined from two software versions because all hosts that knew its version
     * have died.
     */
    @Test(dataProvider = "programs")
    public void resumedStreamGoesToItsVersionAfterAllHostsHaveDied(String program) throws Exception {
        ScriptedServer first = startServer("v1", hangsAfterFirstEvent("v1"));
        ScriptedServer second = startServer("v2", hangsAfterFirstEvent("v2"));
        String[] began = new String[10];
        for (int i = 0; i < began.length; i++) {
            String start = sendUntilEvent(streamRequest("a" + i, program, ""));
            began[i] = start.contains("data: v1") ? "v1" : "v2";
        }
        startHost();
        register(second, "v2");
        register(first, "v1");
        for (int i = 0; i < began.length; i++) {
            String resumed = sendRequest(streamRequest("b" + i, program, "resumes: a" + i + "\r\nlast-event: 1\r\n"));
            assertEquals(chunkedBody(resumed), "id: 2\ndata: " + began[i] + "\n\n", "stream " + i);
            assertTrue(resumed.endsWith(LAST_CHUNK), resumed);
        }
    }

    /**
     * Guards against a host that missed how servers of a new version joined, and goes on at another version with a stream
     * that began there through another host. Its cache of the program is from before, with reservations made ahead.
     */
    @Test(dataProvider = "programs")
    public void hostThatDoesNotKnowTheVersionOfAResumedStreamRefusesIt(String program) throws Exception {
        ScriptedServer old = startServer("v1", hangsAfterFirstEvent("v1"));
        for (int i = 0; i < 3; i++) {
            sendUntilEvent(streamRequest("early" + i, program, ""));
        }
        HttpListener outOfStep = listener;
        startHost();
        register(old, "v1");
        startServer("v2", hangsAfterFirstEvent("v2"));
        HttpListener inStep = listener;
        int begunAtNew = 0;
        int joined = 0;
        for (int i = 0; i < 12; i++) {
            listener = inStep;
            boolean isNew = sendUntilEvent(streamRequest("a" + i, program, "")).contains("data: v2");
            listener = outOfStep;
            String resumed = sendRequest(streamRequest("b" + i, program, "resumes: a" + i + "\r\nlast-event: 1\r\n"));
            begunAtNew += isNew ? 1 : 0;
            joined += isNew && !resumed.startsWith("HTTP/1.1 503") ? 1 : 0;
            listener = inStep;
            String again = sendRequest(streamRequest("c" + i, program, "resumes: a" + i + "\r\nlast-event: 1\r\n"));
            assertEquals(chunkedBody(again), "id: 2\ndata: " + (isNew ? "v2" : "v1") + "\n\n", "stream " + i);
        }
        assertTrue(begunAtNew > 0, "no stream began at version v2");
        assertEquals(joined, 0);
    }

    @Test
    public void resumedStreamIsRefusedAsNotRunWhenItsVersionIsGone() throws Exception {
        startServer("v1", hangsAfterFirstEvent("v1"));
        sendUntilEvent(streamRequest("a", "", ""));
        startHost();
        ScriptedServer other = startServer("v2", hangsAfterFirstEvent("v2"));
        String response = sendRequest(streamRequest("b", "", "resumes: a\r\nlast-event: 1\r\n"));
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertFalse(response.contains("retry-after"), response);
        assertEquals(other.requests.size(), 0);
    }

    @DataProvider
    public Object[][] unknownStreams() {
        return new Object[][] {{"resumes: never\r\n"}, {"resumes: \r\n"}, {""}};
    }

    /** Guards against a guess where the version that began a stream is not known. */
    @Test(dataProvider = "unknownStreams")
    public void resumedStreamOfUnknownVersionIsRefusedAsNotRun(String resumes) throws Exception {
        ScriptedServer server = startServer("v1", hangsAfterFirstEvent("v1"));
        String response = sendRequest(streamRequest("b", "", resumes + "last-event: 1\r\n"));
        assertTrue(response.startsWith("HTTP/1.1 503"), response);
        assertEquals(server.requests.size(), 0);
    }

    private static ScriptedServer.Script breaksAfterFirstEvent(String version) {
        return (request, out, socket) -> {
            writeHead(request, out, version);
            if (request.header("last-event").isEmpty()) {
                writeChunk(out, "id: 1\ndata: " + version + "\n\n");
                out.flush();
                socket.close();
            } else {
                endWithSecondEvent(out, version);
            }
        };
    }

    private static ScriptedServer.Script hangsAfterFirstEvent(String version) {
        return (request, out, socket) -> {
            writeHead(request, out, version);
            if (request.header("last-event").isEmpty()) {
                writeChunk(out, "id: 1\ndata: " + version + "\n\n");
                out.flush();
                Thread.sleep(60_000);
            } else {
                endWithSecondEvent(out, version);
            }
        };
    }

    private static void writeHead(ScriptedServer.ReceivedRequest request, OutputStream out, String version)
            throws IOException {
        out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\nsigned: " + version
                        + "\r\ntransfer-encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
    }

    private static void endWithSecondEvent(OutputStream out, String version) throws IOException {
        writeChunk(out, "id: 2\ndata: " + version + "\n\n");
        out.write(LAST_CHUNK.getBytes(StandardCharsets.US_ASCII));
    }

    private static String streamRequest(String id, String program, String headers) {
        return "GET /resume/ HTTP/1.1\r\nHost: h\r\nid: " + id + "\r\nleft-ms: 2000\r\n" + program + headers + "\r\n";
    }
}
