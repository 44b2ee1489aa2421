package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** One client attempt, on a new connection. */
final class Client {
    private Client() {}

    /** The answer to an attempt: status 0 if there was none; whole if it has its end. */
    record Answer(int status, String retryAfter, boolean sealed, boolean whole, String body, List<String> events) {}

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static String request(String method, String path, String id, long deadlineMs, String headers, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Manifest.HOST + "\r\nCelerygw-Attempt-Id: " + id
                + "\r\nCelerygw-Deadline-Ms: " + deadlineMs + "\r\n" + headers
                + (body.isEmpty() && method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n")
                + "\r\n" + body;
    }

    static Answer send(String ip, int port, String request, int timeoutMs) {
        int status = 0;
        String retryAfter = "";
        boolean sealed = false;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), 1_000);
            socket.setSoTimeout(timeoutMs);
            Http.Connection connection = new Http.Connection(socket);
            connection.send(request);
            Http.Message head = Http.readHead(connection.in);
            if (head != null) {
                status = head.status();
                retryAfter = head.header("Retry-After");
                sealed = !head.header("Celerygw-Server-Seal").isEmpty();
                if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                    byte[] chunk;
                    while ((chunk = Http.readChunk(connection.in)) != null) {
                        body.writeBytes(chunk);
                    }
                    whole = true;
                } else {
                    int length = Integer.parseInt(head.header("Content-Length"));
                    byte[] bytes = connection.in.readNBytes(length);
                    body.writeBytes(bytes);
                    whole = bytes.length == length;
                }
            }
        } catch (IOException | RuntimeException e) {
            // The answer stays as far as it came.
        }
        String text = body.toString(StandardCharsets.ISO_8859_1);
        return new Answer(status, retryAfter, sealed, whole, text, events(text));
    }

    /** Returns the data of all whole events. */
    static List<String> events(String text) {
        List<String> events = new ArrayList<>();
        int from = 0;
        int end;
        while ((end = text.indexOf("\n\n", from)) >= 0) {
            for (String line : text.substring(from, end).split("\n")) {
                if (line.startsWith("data: ")) {
                    events.add(line.substring(6));
                }
            }
            from = end + 2;
        }
        return events;
    }
}
