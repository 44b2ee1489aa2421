import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Streams that are taken up again at another machine after theirs was killed, while engines of two versions serve. */
public final class Versions extends Case {
    private static final int PROGRAMS = 20;
    private static final int OLD_ENGINES = 8;
    /** Two releases at the same time, each with one engine at a time and a second between. */
    private static final int WAVES = 3;
    private static final int LONG_EVENTS = 19;
    private static final int AGENT_TURNS = 2;

    /** The version of the engine that runs each attempt, as the engine itself knows it. */
    private final Map<String, String> versions = new ConcurrentHashMap<>();

    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger goneOn = new AtomicInteger();
    private final AtomicInteger ambiguous = new AtomicInteger();
    private final AtomicInteger joined = new AtomicInteger();
    private final AtomicInteger newAsked = new AtomicInteger();
    private final AtomicInteger newBegun = new AtomicInteger();
    private final List<Http.Server> engines = new ArrayList<>();

    Versions(String folder) throws IOException {
        super(folder);
    }

    /** The number of events stands in the path; a stream that is taken up goes on after Last-Event-Id. */
    private void engine(String version, Http.Message request, Http.Channel channel) throws Exception {
        String id = request.field("Celerygw-Attempt-Id");
        versions.put(id, version);
        int events = Integer.parseInt(request.target().substring(request.target().lastIndexOf('/') + 1));
        String last = request.field("Last-Event-Id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        channel.write(Http.latin("HTTP/1.1 200 OK\r\nCelerygw-Attempt-Id: " + id + "\r\nCelerygw-Server-Seal: seal-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n\r\n"));
        for (int event = from; event <= events; event++) {
            channel.chunk("id: " + event + "\ndata: " + version + "-" + event + "\n\n");
            Thread.sleep(events > 4 ? 250 : 40);
        }
        channel.write(Http.latin("0\r\n\r\n"));
    }

    private void addEngines(String version, int first, int count) throws IOException {
        for (int i = first; i < first + count; i++) {
            Http.Server server = new Http.Server("127.0.0.1", 0, (q, c) -> engine(version, q, c));
            resources.add(server);
            engines.add(server);
            beat(i, version, "ready", 1);
        }
    }

    private void beat(int i, String version, String state, long sequence) {
        store.put(
                "servers",
                "i-" + i,
                entry("modelos", engines.get(i).port(), sequence, 1, 48)
                        .replace("\"version\":\"v1\"", "\"version\":\"" + version + "\"")
                        .replace("\"state\":\"ready\"", "\"state\":\"" + state + "\""));
    }

    private static byte[] request(String id, String program, String line, int events, String more) {
        return Http.latin("POST /p/" + events + " HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Program-Id: " + program + "\r\nCelerygw-Session-Id: " + line
                + "\r\nCelerygw-Program-Deadline-Ms: 30000\r\nCelerygw-Token-Budget: 3000\r\n"
                + "Celerygw-Token-Usage: 1000,90\r\nCelerygw-Deadline-Ms: 5000\r\n" + more
                + "Content-Length: 5\r\n\r\ninput");
    }

    /** The status and the events of a stream, as far as they came. */
    private static final class Stream {
        int status;
        boolean whole;
        int lastId = -1;
        final StringBuilder data = new StringBuilder();
    }

    private static Stream read(Host host, byte[] request) {
        Stream stream = new Stream();
        try (Socket socket = connect(host)) {
            InputStream in = input(socket);
            socket.getOutputStream().write(request);
            stream.status = Integer.parseInt(Http.line(in).split(" ")[1]);
            boolean chunked = false;
            String line;
            while (!(line = Http.line(in)).isEmpty()) {
                chunked |= line.toLowerCase(java.util.Locale.ROOT).startsWith("transfer-encoding");
            }
            StringBuilder text = new StringBuilder();
            while (chunked) {
                int size = Integer.parseInt(Http.line(in).trim(), 16);
                if (size == 0) {
                    stream.whole = true;
                    return stream;
                }
                byte[] bytes = in.readNBytes(size);
                if (bytes.length < size) {
                    throw new EOFException();
                }
                Http.line(in);
                text.append(new String(bytes, StandardCharsets.UTF_8));
                int end;
                while ((end = text.indexOf("\n\n")) >= 0) {
                    String event = text.substring(0, end);
                    text.delete(0, end + 2);
                    stream.lastId = Integer.parseInt(event.substring(4, event.indexOf('\n')));
                    stream.data.append(event.substring(event.indexOf("data: ") + 6)).append(' ');
                }
            }
        } catch (IOException e) {
            // what has come so far stands
        }
        return stream;
    }

    /** One line of the program: a long turn at the first host, taken up at the second one when its channel breaks. */
    private void longLine(int p) throws InterruptedException {
        String program = "program" + p;
        String first = program + "long";
        Stream before = read(hosts.get(0), request(first, program, "main" + p, LONG_EVENTS, ""));
        if (before.whole || before.lastId < 1) {
            record(first + ": status " + before.status + (before.whole ? ", whole" : ", no event"));
            return;
        }
        broken.incrementAndGet();
        for (int t = 1; t <= 2; t++) {
            Thread.sleep(200);
            String id = first + "again" + t;
            Stream after = read(hosts.get(1), request(id, program, "main" + p, LONG_EVENTS,
                    "Last-Event-Id: " + before.lastId + "\r\nResumes: " + first + "\r\n"));
            record("take-up " + id + " after event " + before.lastId + " of " + versions.get(first) + ": status " + after.status
                    + (after.whole ? ", whole, at an engine of " + versions.get(id) : ""));
            if (after.whole && after.status == 200) {
                goneOn.incrementAndGet();
                if (!versions.get(first).equals(versions.get(id))) {
                    joined.incrementAndGet();
                }
                return;
            }
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    boolean holds() throws Exception {
        manifest(route("turns", "/p/", "streaming", "modelos", 2,
                ",\"resumable\":true,\"stickySessions\":true,\"gapAimMs\":400"));
        addEngines("v1", 0, OLD_ENGINES);
        startHosts(2);
        Thread beats = start(() -> {
            try {
                for (long sequence = 2; ; sequence++) {
                    Thread.sleep(1_200);
                    for (int i = 0; i < OLD_ENGINES; i++) {
                        boolean leaves = i >= 2 * OLD_ENGINES - engines.size();
                        beat(i, "v1", leaves ? "draining" : "ready", sequence);
                    }
                    for (int i = OLD_ENGINES; i < engines.size(); i++) {
                        beat(i, "v2", "ready", sequence);
                    }
                }
            } catch (InterruptedException e) {
                // ended
            }
        });
        // Hosts hear of each other.
        Thread.sleep(11_000);
        record("each of " + PROGRAMS + " programs runs a short turn at " + hosts.get(0).name);
        for (int p = 0; p < PROGRAMS; p++) {
            Stream s = read(hosts.get(0), request("program" + p + "first", "program" + p, "main" + p, 2, ""));
            if (!s.whole) {
                throw new IOException("a first turn failed: " + s.status);
            }
        }
        Thread.sleep(1_000);
        record("each begins a turn of 4.75 s there, on its main line");
        long beginMs = nowMs();
        List<Thread> lines = new ArrayList<>();
        for (int p = 0; p < PROGRAMS; p++) {
            int number = p;
            lines.add(start(() -> {
                try {
                    longLine(number);
                } catch (InterruptedException e) {
                    // ended
                }
            }));
        }
        Thread.sleep(300);
        for (int wave = 0; wave < WAVES; wave++) {
            for (int k = 2 * wave; trouble && k < 2 * wave + 2; k++) {
                addEngines("v2", OLD_ENGINES + k, 1);
                beat(OLD_ENGINES - 1 - k, "v1", "draining", 1_000);
            }
            record(trouble ? "two engines of v2 join, two of v1 drain" : "nothing changes");
            Thread.sleep(wave < WAVES - 1 ? 1_000 : 500);
        }
        record("each program runs two short turns of a sub-agent there, one after the other, beside its main line");
        List<Thread> agents = new ArrayList<>();
        for (int p = 0; p < PROGRAMS; p++) {
            int number = p;
            agents.add(start(() -> {
                for (int t = 0; t < AGENT_TURNS; t++) {
                    String id = "program" + number + "agent" + t;
                    read(hosts.get(0), request(id, "program" + number, "agent" + number, 2, ""));
                    if ("v2".equals(versions.get(id))) {
                        ambiguous.incrementAndGet();
                    }
                }
            }));
        }
        for (Thread t : agents) {
            t.join(Math.max(1, beginMs + 3_600 - nowMs()));
        }
        Thread.sleep(Math.max(1, beginMs + 3_900 - nowMs()));
        record("turns of sub-agents that ran at v2: " + ambiguous.get() + " of " + AGENT_TURNS * PROGRAMS);
        record("SIGKILL to " + hosts.get(0).name);
        hosts.get(0).kill();
        List<Thread> fresh = new ArrayList<>();
        for (int p = 0; p < PROGRAMS; p++) {
            int number = p;
            newAsked.incrementAndGet();
            fresh.add(start(() -> {
                if (read(hosts.get(1), request("new" + number, "new" + number, "n" + number, 2, "")).whole) {
                    newBegun.incrementAndGet();
                }
            }));
            Thread.sleep(60);
        }
        for (Thread t : fresh) {
            t.join(6_000);
        }
        for (Thread t : lines) {
            t.join(15_000);
        }
        beats.interrupt();
        double newShare = newBegun.get() / (double) newAsked.get();
        double share = goneOn.get() / (double) Math.max(1, broken.get());
        record("streams taken up again: " + broken.get() + ", gone on: " + goneOn.get() + "; new streams: " + newAsked.get()
                + ", begun: " + newBegun.get() + "; joined from two versions: " + joined.get());
        if (broken.get() < 12) {
            throw new IOException("fewer than 12 streams broke off");
        }
        return share >= newShare / 2;
    }
}
