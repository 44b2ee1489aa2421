import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A request that crashes each engine a while after it began to run, and that comes again before the last crash. */
public final class Poison extends Case {
    private static final int ENGINES = 12;
    private static final long PERIOD_MS = Long.getLong("period", 1_000);
    private static final int TIMES = Integer.getInteger("times", 40);
    private static final long CRASH_AFTER_MS = 2_500;
    private static final long BACK_AFTER_MS = 3_000;
    private static final String PATH = "/p/bad";

    /** A run of the request at an engine: when it arrived there and when the engine crashed. */
    private record Run(long arrivedMs, long crashedMs) {}

    private final List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger lifetimes = new AtomicInteger();
    private final AtomicInteger soundBroken = new AtomicInteger();
    private final AtomicInteger soundWhole = new AtomicInteger();

    Poison(String folder) throws IOException {
        super(folder);
    }

    /** An engine: each start is a new lifetime with a new id. */
    private final class Engine {
        private Http.Server server;
        private String id;
        private long sequence;
        private long born;

        synchronized void start() throws IOException {
            id = "i-" + lifetimes.incrementAndGet();
            born = System.currentTimeMillis();
            server = new Http.Server("127.0.0.1", 0, this::handle);
            resources.add(server);
            beat();
        }

        synchronized void beat() {
            if (id != null) {
                store.put("servers", id, entry("modelos", server.port(), ++sequence, born, 48));
            }
        }

        private void handle(Http.Message request, Http.Channel channel) throws Exception {
            String attempt = request.field("Celerygw-Attempt-Id");
            boolean bad = request.target().equals(PATH);
            String here = id;
            if (bad) {
                arrivals.add(nowMs());
                record("engine " + here + " begins to run " + attempt);
            }
            channel.write(Http.latin("HTTP/1.1 200 OK\r\nCelerygw-Attempt-Id: " + attempt
                    + "\r\nCelerygw-Server-Seal: seal-" + attempt
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n\r\n"));
            int events = bad ? (int) (CRASH_AFTER_MS / 250) : 4;
            for (int event = 1; event <= events; event++) {
                channel.chunk("id: " + event + "\ndata: " + attempt + "-" + event + "\n\n");
                Thread.sleep(bad ? 250 : 50);
            }
            if (bad && trouble) {
                crash(here, attempt);
                return;
            }
            channel.write(Http.latin("0\r\n\r\n"));
        }

        private void crash(String here, String attempt) throws Exception {
            synchronized (this) {
                if (!here.equals(id)) {
                    return;
                }
                record("engine " + here + " crashes under " + attempt);
                crashes.add(nowMs());
                String gone = id;
                id = null;
                server.crash();
                Thread again = new Thread(() -> {
                    try {
                        Thread.sleep(BACK_AFTER_MS);
                        store.remove("servers", gone);
                        start();
                    } catch (Exception e) {
                        record("engine is not back: " + e);
                    }
                });
                again.setDaemon(true);
                again.start();
            }
        }
    }

    private static byte[] request(String path, String id, String program, String body) {
        return Http.latin("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Program-Id: " + program + "\r\nCelerygw-Session-Id: s" + program
                + "\r\nCelerygw-Program-Deadline-Ms: 60000\r\nCelerygw-Token-Budget: 1000000\r\n"
                + "Celerygw-Token-Usage: 1000,30\r\nCelerygw-Deadline-Ms: 5000\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    private void send(int number, String path, String id, boolean bad) {
        Host host = hosts.get(number % hosts.size());
        try (Socket socket = connect(host)) {
            Http.Message answer = exchange(socket, input(socket), request(path, id, id, bad ? "the bad one" : "sound " + id));
            if (bad) {
                record("answer to " + id + " at " + host.name + ": " + answer.start + (answer.whole ? ", whole" : ", broken off")
                        + (answer.field("Retry-After").isEmpty() ? "" : ", retry after " + answer.field("Retry-After")));
            } else {
                (answer.status() == 200 && answer.whole ? soundWhole : soundBroken).incrementAndGet();
            }
        } catch (IOException e) {
            if (bad) {
                record("no answer to " + id + " at " + host.name + ": " + e);
            } else {
                soundBroken.incrementAndGet();
            }
        }
    }

    private void sendLater(int number, String path, String id, boolean bad) {
        Thread t = new Thread(() -> send(number, path, id, bad));
        t.setDaemon(true);
        t.start();
    }

    @Override
    boolean holds() throws Exception {
        manifest(route("turns", "/p/", "streaming", "modelos", 2, ",\"stickySessions\":true,\"gapAimMs\":400"));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine();
            engine.start();
            engines.add(engine);
        }
        Thread beats = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(1_200);
                    engines.forEach(Engine::beat);
                }
            } catch (InterruptedException e) {
                // ended
            }
        });
        beats.setDaemon(true);
        beats.start();
        startHosts(3);
        // Longer than hosts need to hear of each other.
        Thread.sleep(12_000);
        int sound = 0;
        for (int i = 0; i < TIMES; i++) {
            sendLater(i, PATH, "bad" + i, true);
            for (int k = 0; k < 4; k++) {
                Thread.sleep(PERIOD_MS / 4);
                sendLater(sound, "/p/good" + sound % 5, "good" + sound++, false);
            }
        }
        Thread.sleep(4_000);
        record("sound requests: " + soundWhole.get() + " answered whole, " + soundBroken.get() + " not");
        record("engines crashed: " + crashes.size());
        if (arrivals.isEmpty() || (!trouble && arrivals.size() < TIMES)) {
            throw new IOException("the request did not reach the engines");
        }
        if (crashes.size() < 3) {
            return true;
        }
        // What reaches an engine later than stableMs after the third crash was sent later than that, less the way there.
        long from = crashes.get(2) + 3_000 + 100;
        long retries = arrivals.stream().filter(a -> a > from).count();
        record("third crash at " + crashes.get(2) + " ms; retries that reached engines later than 3,100 ms after it: " + retries);
        return retries <= 3;
    }
}
