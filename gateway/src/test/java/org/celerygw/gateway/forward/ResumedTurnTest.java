package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.celerygw.core.turns.StreamLog;
import org.celerygw.standin.Fault;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a turn that is kept without what its client had received before it resumed the stream: the next turn must
 * be given exactly what the client has. Each run of the engine writes other text, so that parts of two runs can be told.
 */
public final class ResumedTurnTest extends ForwarderFixture {
    private static final int EVENTS = 6;
    private static final int SEEDS = Integer.getInteger("celerygw.seeds", 12);
    private static final int FIRST_SEED = Integer.getInteger("celerygw.firstSeed", 1);
    private static final Pattern DATA = Pattern.compile("id: (\\d+)\ndata: (.*)\n\n");

    private final AtomicInteger runs = new AtomicInteger();
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private volatile int breakAfter;
    private volatile long eventMs;
    private volatile long firstEventMs;
    /** The number of the run whose events are too large to be logged; 0 for none. */
    private volatile int largeRun;

    private List<ScriptedServer> engines;
    private String program;

    @BeforeMethod
    public void startEngine() throws Exception {
        bodies.clear();
        runs.set(0);
        breakAfter = EVENTS;
        eventMs = 40;
        largeRun = 0;
        firstEventMs = 0;
        program = "p";
        engines = List.of(startServer(this::runTurn), startServer(this::runTurn));
    }

    private void runTurn(ScriptedServer.ReceivedRequest request, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        int run = runs.incrementAndGet();
        bodies.add(request.body());
        out.write(("HTTP/1.1 200 OK\r\nid: " + request.header("id")
                        + "\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        out.flush();
        Thread.sleep(firstEventMs);
        String last = request.header("last-event");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        for (int i = first; i <= EVENTS; i++) {
            if (i - first == breakAfter) {
                breakAfter = EVENTS;
                out.flush();
                socket.close();
                return;
            }
            String text = "r" + run + "e" + i + (run == largeRun ? "x".repeat(StreamLog.MAX_PART_BYTES) : "");
            writeChunk(out, "id: " + i + "\ndata: " + text + "\n\n");
            out.flush();
            Thread.sleep(eventMs);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** What a client has received of one turn. */
    private static final class Received {
        private final StringBuilder output = new StringBuilder();
        private int lastId;
        private boolean whole;

        private void add(String response) {
            Matcher event = DATA.matcher(response);
            while (event.find()) {
                assertEquals(Integer.parseInt(event.group(1)), ++lastId, response);
                output.append(event.group(2)).append('\n');
            }
            whole = response.endsWith("0\r\n\r\n");
        }
    }

    private String turn(String id, String headers, String input) {
        return "POST /kept/ HTTP/1.1\r\nHost: h\r\nid: " + id
                + "\r\nprogram: " + program + "\r\nbudget: 5000\r\nmax: 100\r\nleft-ms: 4000\r\n" + headers
                + "content-length: "
                + input.length() + "\r\n\r\n" + input;
    }

    /** Sends a turn, and closes the connection once it has received the given number of events. */
    private void receive(Received received, String request, int events) throws IOException {
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.setSoTimeout(8_000);
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = client.getInputStream();
            StringBuilder response = new StringBuilder();
            int seen = 0;
            while (seen < events && !response.toString().endsWith("\r\n0\r\n\r\n")) {
                int b = in.read();
                if (b < 0) {
                    break;
                }
                response.append((char) b);
                seen += response.toString().endsWith("\n\n")
                                && !response.toString().endsWith("\r\n\r\n")
                        ? 1
                        : 0;
            }
            assertTrue(response.toString().startsWith("HTTP/1.1 200"), response.toString());
            received.add(response.toString());
        }
    }

    private void startOtherHost() throws InterruptedException {
        startHost();
        for (ScriptedServer engine : engines) {
            register(engine, "v1");
        }
    }

    private void resume(Received received, String id, String began, int events) throws IOException {
        receive(
                received,
                turn(id, "resumes: " + began + "\r\nlast-event: " + received.lastId + "\r\n", "first,"),
                events);
    }

    /** Resumes the turn that began as "a" until its end, and asserts that it is kept whole. */
    private void resumeAtOtherHost(Received received, String id) throws Exception {
        startOtherHost();
        resume(received, id, "a", EVENTS + 1);
        assertKeptWhole(received, id);
    }

    private void assertKeptWhole(Received received, String turn) throws IOException {
        assertTrue(received.whole);
        assertEquals(received.lastId, EVENTS);
        breakAfter = EVENTS;
        String next = sendRequest(turn(turn + "-next", "previous: " + turn + "\r\n", "second"));
        assertTrue(next.endsWith("0\r\n\r\n"), next);
        assertEquals(bodies.get(bodies.size() - 1), "first," + received.output + "second");
    }

    @Test
    public void turnThatIsResumedAtAnotherHostIsKeptWhole() throws Exception {
        Received received = new Received();
        receive(received, turn("a", "", "first,"), 3);
        resumeAtOtherHost(received, "b");
    }

    @Test
    public void turnThatIsResumedTwiceIsKeptWhole() throws Exception {
        Received received = new Received();
        receive(received, turn("a", "", "first,"), 2);
        resume(received, "b", "a", 2);
        resumeAtOtherHost(received, "c");
    }

    @Test
    public void turnThatItsHostResumedAtAnEngineIsKeptWhole() throws Exception {
        Received received = new Received();
        breakAfter = 2;
        receive(received, turn("a", "", "first,"), 4);
        assertEquals(runs.get(), 2);
        resumeAtOtherHost(received, "b");
    }

    @Test
    public void turnOfWhichOnlyTheEndIsMissingIsKeptWhole() throws Exception {
        Received received = new Received();
        receive(received, turn("a", "", "first,"), EVENTS);
        resumeAtOtherHost(received, "b");
    }

    @Test
    public void turnWhoseEarlierEventsAreNotAllKnownIsRefusedAsNotRun() throws Exception {
        receive(new Received(), turn("a", "", "first,"), 1);
        startOtherHost();
        int before = bodies.size();
        String refused = sendRequest(turn("b", "resumes: a\r\nlast-event: " + (EVENTS + 3) + "\r\n", "first,"));
        assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
        assertEquals(bodies.size(), before);
    }

    /** Guards against the same gap where the route's streams cannot be resumed, and the client names an event all the same. */
    @Test
    public void keptTurnThatCannotBeResumedIsRefusedAsNotRun() throws Exception {
        String request = turn("b", "resumes: a\r\nlast-event: 2\r\n", "first,").replace("/kept/", "/turn/");
        String refused = sendRequest(request);
        assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
        assertEquals(bodies.size(), 0);
    }

    /** Guards against a stream that stands still while the store does not answer. */
    @Test
    public void eventsGoOnWhileTheStoreDoesNotAnswer() throws Exception {
        eventMs = 150;
        Received received = new Received();
        try (Socket client = new Socket("127.0.0.1", listener.port())) {
            client.setSoTimeout(3_000);
            client.getOutputStream().write(turn("a", "", "first,").getBytes(StandardCharsets.ISO_8859_1));
            StringBuilder response = new StringBuilder();
            while (!response.toString().contains("id: 5\n")) {
                int b = client.getInputStream().read();
                assertTrue(b >= 0, response.toString());
                response.append((char) b);
                if (response.toString().endsWith("id: 2\n")) {
                    storeFaults.injectAlways(Fault.DOWN);
                }
            }
        }
        storeFaults.clear();
        received.lastId = 5;
        startOtherHost();
        String refused = sendRequest(turn("b", "resumes: a\r\nlast-event: 5\r\n", "first,"));
        assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
    }

    /**
     * Guards against a run that is given up while its first events are logged, and that is then taken for the one which the
     * client received: its events were too large to be logged.
     */
    @Test
    public void logOfARunThatWasGivenUpIsNotTakenForTheNextOne() throws Exception {
        storeFaults.setDelayMs(100);
        // The reservation is confirmed by then, and the first event is being logged when the engine breaks off.
        firstEventMs = 400;
        breakAfter = 1;
        eventMs = 20;
        largeRun = 2;
        Received received = new Received();
        receive(received, turn("a", "", "first,"), 3);
        assertEquals(runs.get(), 2);
        startOtherHost();
        String refused = sendRequest(turn("b", "resumes: a\r\nlast-event: 1\r\n", "first,"));
        assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
    }

    /** Clients break off and resume at random moments, at the same host or another one, while engines break off too. */
    @Test
    public void turnsAreKeptAsTheirClientsReceivedThem() throws Exception {
        eventMs = 10;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            Random random = new Random(seed);
            Received received = new Received();
            String began = "s" + seed;
            program = "p" + seed;
            String id = began;
            storeFaults.setDelayMs(20 * random.nextInt(3));
            breakAfter = 1 + random.nextInt(EVENTS);
            receive(received, turn(id, "", "first,"), 1 + random.nextInt(EVENTS));
            for (int i = 0; !received.whole; i++) {
                if (random.nextBoolean()) {
                    startOtherHost();
                }
                breakAfter = 1 + random.nextInt(EVENTS);
                id = began + "-" + i;
                resume(received, id, began, 1 + random.nextInt(EVENTS + 1));
            }
            assertKeptWhole(received, id);
        }
    }
}
