import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A request inside the body of a request with an ambiguous length, sent while another one on the channel is answered. */
public final class Smuggled extends Case {
    private static final int ROUNDS = 10;
    private final List<String> ran = Collections.synchronizedList(new ArrayList<>());

    Smuggled(String folder) throws IOException {
        super(folder);
    }

    private void engine(Http.Message request, Http.Channel channel) throws Exception {
        String id = request.field("Celerygw-Attempt-Id");
        ran.add(id);
        record("engine runs: " + request.start + "  id " + id);
        Thread.sleep(80);
        channel.answer(
                200,
                "Celerygw-Attempt-Id: " + id + "\r\nCelerygw-Server-Seal: seal-" + id + "\r\nKeep-Alive: timeout=15\r\n",
                Http.latin("done " + id));
    }

    private static String unsafe(String id, String framing, String body) {
        return "POST /t/filing HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Deadline-Ms: 3000\r\n" + framing + "\r\n" + body;
    }

    @Override
    boolean holds() throws Exception {
        Http.Server engine = new Http.Server("127.0.0.1", 0, this::engine);
        resources.add(engine);
        manifest(
                route("reads", "/r/", "safe", "registros", 2, ""),
                route("filings", "/t/", "unsafe", "registros", 1, ""));
        store.put("servers", "i-1", entry("registros", engine.port(), 1, 1, 6));
        startHosts(1);
        int asked = 0;
        int inside = 0;
        for (int round = 0; round < ROUNDS; round++) {
            String first = "a" + round + "first";
            String ambiguous = "b" + round + "ambiguous";
            String hidden = "c" + round + "hidden";
            String safe = "GET /r/status HTTP/1.1\r\nHost: h.example\r\nCelerygw-Attempt-Id: " + first
                    + "\r\nCelerygw-Deadline-Ms: 1200\r\n\r\n";
            // By its length, the whole rest is the body of this one request; by its coding, another request follows.
            String rest = "0\r\n\r\n" + unsafe(hidden, "Content-Length: 2\r\n", "{}");
            String outer = unsafe(
                    ambiguous, "Content-Length: " + rest.length() + "\r\nTransfer-Encoding: chunked\r\n", rest);
            try (Socket socket = connect(hosts.get(0))) {
                InputStream in = input(socket);
                if (trouble) {
                    record("client sends " + first + ", and " + ambiguous + " right behind it, before the answer");
                    socket.getOutputStream().write(Http.latin(safe + outer));
                } else {
                    record("client sends " + first);
                    record("answer: " + exchange(socket, in, Http.latin(safe)).start);
                    record("client sends " + ambiguous + " after the answer");
                    socket.getOutputStream().write(Http.latin(outer));
                }
                socket.getOutputStream().flush();
                while (true) {
                    Http.Message answer = Http.read(in, true);
                    record("answer: " + answer.start + "  id " + answer.field("Celerygw-Attempt-Id"));
                }
            } catch (IOException e) {
                record("channel ended: " + e.getMessage());
            }
            Thread.sleep(300);
            asked += ran.contains(first) ? 1 : 0;
            inside += ran.contains(hidden) ? 1 : 0;
        }
        record("ordinary requests that ran: " + asked + " of " + ROUNDS + "; smuggled requests that ran: " + inside);
        if (asked < ROUNDS) {
            throw new IOException("ordinary requests did not run");
        }
        return inside == 0;
    }
}
