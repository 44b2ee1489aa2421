package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a response whose status the protocol does not have, and that a client gets as a response all the same. */
public final class UnsoundStatusTest extends ForwarderFixture {
    private static final List<String> UNSOUND = List.of(
            "000", "001", "042", "099", "600", "700", "999", "1000", "-01", "2", "20", "0200", "+200", "+20", "2xx",
            "0x0", "");

    private static final List<String> ROUTES =
            List.of("/safe/", "/unsafe/", "/stream/", "/resume/", "/turn/", "/kept/");

    @DataProvider
    public Object[][] unsoundHeads() {
        List<Object[]> cases = new ArrayList<>();
        for (String route : ROUTES) {
            for (String headers : List.of("", SIGNED, "not-run: 1\r\n")) {
                cases.add(new Object[] {route, headers});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    private static String post(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nid: " + id
                + "\r\nprogram: p\r\nbudget: 50000\r\nmax: 10\r\nleft-ms: 2000\r\ncontent-length: 2\r\n\r\nin";
    }

    /** The first response on a connection is sound, so that the next ones come on a kept connection. */
    @Test(dataProvider = "unsoundHeads")
    public void clientGetsAnErrorInPlaceOfAnUnsoundStatus(String route, String headers) throws Exception {
        AtomicInteger responses = new AtomicInteger();
        String[] status = new String[1];
        startServer((request, out, socket) -> {
            if (status[0] == null) {
                respondWithEvents(request, out, "sound");
            } else {
                responses.incrementAndGet();
                respond(out, status[0] + " Bad", request, headers, "id: 1\ndata: a\n\n");
            }
        });
        for (String unsound : UNSOUND) {
            status[0] = null;
            String sound = sendRequest(post(route, "sound" + unsound));
            assertTrue(sound.startsWith("HTTP/1.1 200"), sound);
            status[0] = unsound;
            String response = sendRequest(post(route, "unsound" + unsound));
            assertTrue(response.startsWith("HTTP/1.1 502"), unsound + ": " + response);
            assertFalse(response.contains("data: a"), unsound + ": " + response);
        }
        assertTrue(responses.get() >= UNSOUND.size());
    }

    @DataProvider
    public Object[][] streams() {
        List<Object[]> cases = new ArrayList<>();
        for (String route : List.of("/stream/", "/resume/", "/turn/", "/kept/")) {
            for (boolean inChunks : List.of(true, false)) {
                cases.add(new Object[] {route, inChunks});
            }
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a second head, with such a status, that is taken for a part of the stream that it interrupts. */
    @Test(dataProvider = "streams")
    public void unsoundHeadWithinAStreamBreaksTheStream(String route, boolean inChunks) throws Exception {
        String[] status = new String[1];
        startServer((request, out, socket) -> {
            String head = "HTTP/1.1 200 OK\r\nid: " + request.header("id") + "\r\n" + SIGNED
                    + (inChunks ? "transfer-encoding: chunked\r\n" : "connection: close\r\n") + "\r\n";
            String second = "HTTP/1.1 " + status[0] + " Bad\r\nid: " + request.header("id") + "\r\n" + SIGNED
                    + "content-length: 14\r\n\r\nid: 2\ndata: b\n\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            if (inChunks) {
                writeChunk(out, "id: 1\ndata: a\n\n");
            } else {
                out.write("id: 1\ndata: a\n\n".getBytes(StandardCharsets.US_ASCII));
            }
            out.write(second.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.close();
        });
        for (String unsound : UNSOUND) {
            status[0] = unsound;
            String response = sendRequest(post(route, "unsound" + unsound));
            boolean whole = response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n");
            assertFalse(whole, unsound + ": " + response);
            assertFalse(response.contains("data: b"), unsound + ": " + response);
        }
    }

    @DataProvider
    public Object[][] interrupted() {
        return new Object[][] {{"HTTP/1.1 200 O"}, {"HTTP/1.1 200 OK\r\nda"}, {"HTTP/1.1 200 OK\r\ndate: to"}};
    }

    /**
     * Guards against a success that breaks off in its head and goes on with a response of such a status, whose body and
     * fields a client would get as the success. A version without a status may be a product's name, as in Server.
     */
    @Test(dataProvider = "interrupted")
    public void headIntoWhichAnUnsoundOneHasRunIsNoSuccess(String beginning) throws Exception {
        String[] status = new String[1];
        startServer((request, out, socket) -> {
            out.write(beginning.getBytes(StandardCharsets.US_ASCII));
            respond(out, status[0], request, SIGNED, "no");
        });
        List<String> passedOn = new ArrayList<>();
        for (String unsound : UNSOUND.subList(0, UNSOUND.size() - 1)) {
            for (String reason : List.of("", " ", " Bad")) {
                status[0] = unsound + reason;
                String response = sendRequest(getRequest("/unsafe/", "1"));
                if (!response.startsWith("HTTP/1.1 502")) {
                    passedOn.add(status[0] + ": " + response.lines().findFirst());
                }
            }
        }
        assertEquals(passedOn, List.of());
    }
}
