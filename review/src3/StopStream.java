import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A machine gets SIGTERM while streams are under way; when one ends, its client sends the next request on the same channel.
 */
public final class StopStream extends Case {
    private static final int CLIENTS = 4;
    private static final int GRACE_MS = 8_000;
    private final List<String> lost = Collections.synchronizedList(new ArrayList<>());
    private final List<String> whole = Collections.synchronizedList(new ArrayList<>());
    private final List<String> lostLate = Collections.synchronizedList(new ArrayList<>());
    private volatile long termMs = Long.MAX_VALUE;

    StopStream(String folder) throws IOException {
        super(folder);
    }

    /** The number of events stands in the path; one event each 250 ms, well inside the pause of 400 ms. */
    private void engine(Http.Message request, Http.Channel channel) throws Exception {
        String id = request.field("Celerygw-Attempt-Id");
        int events = Integer.parseInt(request.target().substring(request.target().lastIndexOf('/') + 1));
        long stopMs = nowMs() + Long.parseLong(request.field("Celerygw-Deadline-Ms"));
        record("engine runs " + id + ", time left " + request.field("Celerygw-Deadline-Ms") + " ms");
        channel.write(Http.latin("HTTP/1.1 200 OK\r\nCelerygw-Attempt-Id: " + id + "\r\nCelerygw-Server-Seal: seal-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n\r\n"));
        try {
            for (int event = 1; event <= events; event++) {
                if (nowMs() > stopMs) {
                    record("engine stops " + id + " at the time limit that it received");
                    channel.close = true;
                    return;
                }
                channel.chunk("id: " + event + "\ndata: " + id + "-" + event + "\n\n");
                Thread.sleep(events > 1 ? 250 : 20);
            }
            channel.write(Http.latin("0\r\n\r\n"));
            record("engine has ended " + id);
        } catch (IOException e) {
            record("engine was cut off while it ran " + id);
            throw e;
        }
    }

    private static byte[] request(String id, int events) {
        return Http.latin("POST /p/" + events + " HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Program-Id: program" + id + "\r\nCelerygw-Session-Id: s" + id
                + "\r\nCelerygw-Program-Deadline-Ms: 20000\r\nCelerygw-Token-Budget: 100000\r\n"
                + "Celerygw-Token-Usage: 1000,90\r\nCelerygw-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\ninput");
    }

    private Http.Message send(Socket socket, InputStream in, String id, int events) {
        long sentMs = nowMs();
        String when = sentMs > termMs ? ", " + (sentMs - termMs) + " ms after SIGTERM" : "";
        try {
            Http.Message answer = exchange(socket, in, request(id, events));
            String end = answer.whole ? "whole" : "CHANNEL CLOSED BEFORE ITS END after " + (nowMs() - sentMs) + " ms";
            record("answer to " + id + " (sent" + when + "): " + answer.start + ", " + end
                    + (answer.field("Connection").isEmpty() ? "" : ", Connection: " + answer.field("Connection")));
            (answer.whole ? whole : lost).add(id);
            if (!answer.whole && sentMs > termMs + 3_000) {
                lostLate.add(id);
            }
            return answer;
        } catch (IOException e) {
            record("no answer to " + id + " (sent" + when + "): " + e.getMessage());
            return null;
        }
    }

    /** A client whose channel is busy with a stream when the signal comes, and that goes on as soon as it has ended. */
    private void client(int number) {
        try (Socket socket = connect(hosts.get(0))) {
            InputStream in = input(socket);
            for (int k = 0; k < 4; k++) {
                send(socket, in, "c" + number + "short" + k, 1);
            }
            // The streams before last 4 s; the signal comes a little less than a second after they began.
            Thread.sleep(70L * number);
            Http.Message before = send(socket, in, "c" + number + "before", 16);
            if (before == null || !before.whole || "close".equalsIgnoreCase(before.field("Connection"))) {
                return;
            }
            send(socket, in, "c" + number + "next", 18);
        } catch (IOException | InterruptedException e) {
            record("client " + number + ": " + e);
        }
    }

    @Override
    boolean holds() throws Exception {
        Http.Server engine = new Http.Server("127.0.0.1", 0, this::engine);
        resources.add(engine);
        manifest(route("turns", "/p/", "streaming", "modelos", 2, ",\"stickySessions\":true,\"gapAimMs\":400"));
        store.put("servers", "i-1", entry("modelos", engine.port(), 1, 1, 48));
        startHosts(2);
        // Ordinary traffic, so that the host knows how long its requests take.
        try (Socket socket = connect(hosts.get(0))) {
            InputStream in = input(socket);
            for (int k = 0; k < 40; k++) {
                send(socket, in, "usual" + k, 1);
            }
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread t = new Thread(() -> client(number));
            t.setDaemon(true);
            t.start();
            clients.add(t);
        }
        Thread.sleep(1_000);
        if (trouble) {
            termMs = nowMs();
            record("SIGTERM to " + hosts.get(0).name);
            hosts.get(0).signal("TERM");
            long killAt = termMs + GRACE_MS;
            while (nowMs() < killAt && hosts.get(0).isAlive()) {
                Thread.sleep(20);
            }
            record(hosts.get(0).isAlive() ? "SIGKILL after graceS" : "the process has ended by itself, "
                    + (nowMs() - termMs) + " ms after SIGTERM");
            hosts.get(0).kill();
        }
        for (Thread t : clients) {
            t.join(20_000);
        }
        record("answered whole: " + whole.size() + "; channels closed without the whole answer: " + lost + "; of these sent later"
                + " than 3 s after SIGTERM: " + lostLate);
        if (whole.size() < 40) {
            throw new IOException("ordinary requests failed");
        }
        return lostLate.isEmpty();
    }
}
