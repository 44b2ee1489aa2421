import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Arrays;

/** New programs that continue, after a final fault, from a long chain of turns that were answered whole before it. */
public final class LongChain extends Case {
    private static final int TURNS = 30;
    private static final int INPUT_BYTES = 31_000;
    private static final int PROGRAMS = 6;
    private int runs;

    LongChain(String folder) throws IOException {
        super(folder);
    }

    private void engine(Http.Message request, Http.Channel channel) throws Exception {
        String id = request.field("Celerygw-Attempt-Id");
        synchronized (this) {
            runs++;
        }
        record("engine runs " + id + ", " + request.body.length + " bytes");
        Thread.sleep(40);
        channel.write(Http.latin("HTTP/1.1 200 OK\r\nCelerygw-Attempt-Id: " + id + "\r\nCelerygw-Server-Seal: seal-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n\r\n"));
        for (int event = 1; event <= 5; event++) {
            channel.chunk("id: " + event + "\ndata: " + id + "-" + event + "\n\n");
            Thread.sleep(20);
        }
        channel.write(Http.latin("0\r\n\r\n"));
    }

    private static byte[] turn(String id, String program, String previous, int bytes) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'x');
        byte[] head = Http.latin("POST /p/turn HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Program-Id: " + program + "\r\nCelerygw-Session-Id: s" + program
                + "\r\nCelerygw-Program-Deadline-Ms: 60000\r\nCelerygw-Token-Budget: 100000\r\n"
                + "Celerygw-Token-Usage: 1000,30\r\nCelerygw-Deadline-Ms: 5000\r\n"
                + (previous.isEmpty() ? "" : "Celerygw-Previous-Turn: " + previous + "\r\n")
                + "Content-Length: " + bytes + "\r\n\r\n");
        byte[] all = Arrays.copyOf(head, head.length + bytes);
        System.arraycopy(body, 0, all, head.length, bytes);
        return all;
    }

    @Override
    boolean holds() throws Exception {
        Http.Server engine = new Http.Server("127.0.0.1", 0, this::engine);
        resources.add(engine);
        manifest(route("turns", "/p/", "streaming", "modelos", 2,
                ",\"retain\":true,\"retentionS\":60.0,\"stickySessions\":true,\"gapAimMs\":400"));
        store.put("servers", "i-1", entry("modelos", engine.port(), 1, 1, 48));
        startHosts(2);
        String last = "";
        // The chain: one program's turns, each answered whole.
        try (Socket socket = connect(hosts.get(0))) {
            InputStream in = input(socket);
            for (int t = 0; t < TURNS; t++) {
                String id = "turn" + t;
                Http.Message answer = exchange(socket, in, turn(id, "program0", last, INPUT_BYTES));
                record("answer to " + id + ": " + answer.start + (answer.whole ? ", whole" : ", broken off"));
                if (answer.status() != 200 || !answer.whole) {
                    throw new IOException("a turn of the first program failed");
                }
                last = id;
            }
        }
        if (trouble) {
            record("final fault: all processes are killed");
            for (Host host : hosts) {
                host.kill();
            }
            Thread.sleep(1_200);
            for (Host host : hosts) {
                host.start();
            }
            awaitReady();
        }
        // On a kept channel of a client: a first turn that continues nothing, then one that continues the chain.
        int closed = 0;
        int whole = 0;
        int runsBefore;
        for (int p = 1; p <= PROGRAMS; p++) {
            // Without the fault, the same program goes on.
            String program = trouble ? "program" + p : "program0";
            try (Socket socket = connect(hosts.get(0))) {
                InputStream in = input(socket);
                Http.Message first = exchange(socket, in, turn("fresh" + p, "other" + p, "", 500));
                record("answer to fresh" + p + ": " + first.start + (first.whole ? ", whole" : ", broken off"));
                runsBefore = runs;
                String id = "continued" + p;
                record("client sends " + id + " of " + program + ", which continues " + last + ", on the kept channel");
                try {
                    Http.Message answer = exchange(socket, in, turn(id, program, last, 500));
                    boolean complete = answer.status() == 200 && answer.whole;
                    record("answer to " + id + ": " + answer.start + (answer.whole ? ", whole" : ", channel closed before its end"));
                    whole += complete ? 1 : 0;
                    closed += !answer.whole && runs > runsBefore ? 1 : 0;
                } catch (IOException e) {
                    record("no answer to " + id + ": " + e);
                    closed += runs > runsBefore ? 1 : 0;
                }
            }
        }
        record("turns that continue the chain: " + PROGRAMS + ", answered whole: " + whole
                + ", passed on to the sound engine and the channel closed without the whole answer: " + closed
                + "; transactions that the store refused as larger than 1 MB: " + store.refusedTooLarge);
        return closed <= 3;
    }
}
