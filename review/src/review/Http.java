package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, one thread a connection. */
final class Http {
    private Http() {}

    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        String path() {
            String target = target();
            int mark = target.indexOf('?');
            return mark < 0 ? target : target.substring(0, mark);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    interface Handler {
        /** Answers a request; returns false to close the connection. */
        boolean handle(Message request, Connection connection) throws IOException, InterruptedException;
    }

    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            this.in = new BufferedInputStream(socket.getInputStream(), 16_384);
            this.out = socket.getOutputStream();
        }

        void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void respond(int status, String headers, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            out.write(all.toByteArray());
            out.flush();
        }

        void chunk(String text) throws IOException {
            send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void lastChunk() throws IOException {
            send("0\r\n\r\n");
        }

        /** Closes the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed before.
            }
        }
    }

    /** A server whose connections can all be reset at once. */
    static final class Server {
        private final Handler handler;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
        private final InetSocketAddress address;
        private volatile ServerSocket listener;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            this.address = new InetSocketAddress(InetAddress.getByName(ip), port);
            listen();
        }

        void listen() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, 512);
            listener = socket;
            daemon(() -> accept(socket));
        }

        private void accept(ServerSocket socket) {
            while (!socket.isClosed()) {
                try {
                    Connection connection = new Connection(socket.accept());
                    connections.add(connection);
                    daemon(() -> serve(connection));
                } catch (IOException e) {
                    // The listener was closed, or the client has left.
                }
            }
        }

        private void serve(Connection connection) {
            try {
                while (true) {
                    Message request = read(connection.in, false);
                    if (request == null || !handler.handle(request, connection)) {
                        break;
                    }
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                // The connection ends.
            } finally {
                connections.remove(connection);
                try {
                    connection.socket.close();
                } catch (IOException e) {
                    // Closed before.
                }
            }
        }

        /** Ends as a killed process does: all connections are reset, new ones are refused. */
        void kill() {
            try {
                listener.close();
            } catch (IOException e) {
                // Closed before.
            }
            connections.forEach(Connection::reset);
        }
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new IOException("the connection ended within a line");
        }
        return null;
    }

    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new IOException("the connection ended within a head");
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads the next chunk of a chunked body; null after the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new IOException("the connection ended before the last chunk");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the connection ended within a chunk");
        }
        readLine(in);
        return length == 0 ? null : bytes;
    }

    static Message read(InputStream in, boolean response) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            byte[] chunk;
            while ((chunk = readChunk(in)) != null) {
                body.writeBytes(chunk);
            }
        } else if (!head.header("Content-Length").isEmpty()) {
            int length = Integer.parseInt(head.header("Content-Length"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("the connection ended within a body");
            }
            body.writeBytes(bytes);
        }
        return new Message(head.first(), head.headers(), body.toByteArray());
    }
}
