import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Programs that use all of their token budget, whose lines of turns go on at another machine. Nothing is disturbed. */
public final class Budgets extends Case {
    private static final int PROGRAMS = 20;
    private static final int TURNS = 10;
    private static final int TURNS_BEFORE = 5;
    private static final int EVENTS = 10;
    private static final int MOST_TOKENS = 30;
    private static final int BUDGET = TURNS * MOST_TOKENS;
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger otherFailures = new AtomicInteger();

    Budgets(String folder) throws IOException {
        super(folder);
    }

    private void engine(Http.Message request, Http.Channel channel) throws Exception {
        String id = request.field("Celerygw-Attempt-Id");
        channel.write(Http.latin("HTTP/1.1 200 OK\r\nCelerygw-Attempt-Id: " + id + "\r\nCelerygw-Server-Seal: seal-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n\r\n"));
        for (int event = 1; event <= EVENTS; event++) {
            channel.chunk("id: " + event + "\ndata: " + id + "-" + event + "\n\n");
            Thread.sleep(15);
        }
        channel.write(Http.latin("0\r\n\r\n"));
    }

    private static byte[] turn(String id, String program) {
        return Http.latin("POST /p/turn HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Program-Id: " + program + "\r\nCelerygw-Session-Id: s" + program
                + "\r\nCelerygw-Program-Deadline-Ms: 60000\r\nCelerygw-Token-Budget: " + BUDGET
                + "\r\nCelerygw-Token-Usage: 1000," + MOST_TOKENS + "\r\nCelerygw-Deadline-Ms: 5000\r\n"
                + "Content-Length: 5\r\n\r\ninput");
    }

    /** Runs some turns of one program; returns how many of all its turns were answered whole. */
    private int program(int number, Host host, int from, int to) throws Exception {
        int whole = from;
        try (Socket socket = connect(host)) {
            InputStream in = input(socket);
            for (int t = from; t < to; t++) {
                String id = "program" + number + "turn" + t;
                asked.incrementAndGet();
                Http.Message answer = exchange(socket, in, turn(id, "program" + number));
                if (answer.status() == 200 && answer.whole) {
                    whole++;
                    Thread.sleep(100);
                    continue;
                }
                record("answer to " + id + " at " + host.name + ": " + answer.start + "; the client has received "
                        + whole * MOST_TOKENS + " tokens of " + BUDGET + ", all in turns that ended whole");
                if (answer.status() == 402) {
                    refused.incrementAndGet();
                } else {
                    otherFailures.incrementAndGet();
                }
                // A 402 ends the program.
                return whole;
            }
        }
        return whole;
    }

    private void all(Host host, int from, int to, int[] whole) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < PROGRAMS; i++) {
            int number = i;
            Thread t = new Thread(() -> {
                try {
                    if (whole[number] == from) {
                        whole[number] = program(number, host, from, to);
                    }
                } catch (Exception e) {
                    otherFailures.incrementAndGet();
                    record("program " + number + ": " + e);
                }
            });
            t.start();
            threads.add(t);
            Thread.sleep(30);
        }
        for (Thread t : threads) {
            t.join(40_000);
        }
    }

    @Override
    boolean holds() throws Exception {
        Http.Server engine = new Http.Server("127.0.0.1", 0, this::engine);
        resources.add(engine);
        manifest(route("turns", "/p/", "streaming", "modelos", 2,
                ",\"resumable\":true,\"stickySessions\":true,\"gapAimMs\":400"));
        store.put("servers", "i-1", entry("modelos", engine.port(), 1, 1, 48));
        startHosts(2);
        int[] whole = new int[PROGRAMS];
        record(PROGRAMS + " programs run turns 1 to " + TURNS_BEFORE + " at " + hosts.get(0).name);
        all(hosts.get(0), 0, TURNS_BEFORE, whole);
        // Longer than settleMs: all turns have ended whole and count what they were.
        Thread.sleep(3_000);
        Host next = hosts.get(0);
        if (trouble) {
            next = hosts.get(1);
        }
        record("the programs go on at " + next.name);
        all(next, TURNS_BEFORE, TURNS, whole);
        int ended = 0;
        for (int w : whole) {
            ended += w == TURNS ? 1 : 0;
        }
        int allowed = 5 + asked.get() / 500;
        record("requests: " + asked.get() + "; answered 402 although the budget holds the turn: " + refused.get()
                + " (more than " + allowed + " break the rule); programs that ended: " + ended + " of " + PROGRAMS
                + "; other failures: " + otherFailures.get());
        if (otherFailures.get() > 0) {
            throw new IOException("other failures");
        }
        return refused.get() <= allowed;
    }
}
