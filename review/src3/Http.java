import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets: one message at a time, bytes as they are. */
final class Http {
    private Http() {}

    /** A request or an answer: its first line, fields and body. */
    static final class Message {
        String start = "";
        final List<String[]> fields = new ArrayList<>();
        byte[] body = new byte[0];
        boolean whole;

        String field(String name) {
            for (String[] f : fields) {
                if (f[0].equalsIgnoreCase(name)) {
                    return f[1];
                }
            }
            return "";
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            String[] parts = start.split(" ");
            return parts.length > 1 ? Integer.parseInt(parts[1]) : 0;
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                throw new EOFException("end in a line after " + out.size() + " bytes");
            }
            if (b != '\r') {
                out.write(b);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one message; throws EOFException at the end of the channel. */
    static Message read(InputStream in, boolean answer) throws IOException {
        Message m = new Message();
        m.start = line(in);
        String l;
        while (!(l = line(in)).isEmpty()) {
            int colon = l.indexOf(':');
            m.fields.add(new String[] {l.substring(0, colon).trim(), l.substring(colon + 1).trim()});
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (m.field("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
                int size;
                while ((size = Integer.parseInt(line(in).trim(), 16)) > 0) {
                    copy(in, body, size);
                    line(in);
                }
                while (!line(in).isEmpty()) {
                    // trailers
                }
            } else if (!m.field("Content-Length").isEmpty()) {
                copy(in, body, Integer.parseInt(m.field("Content-Length")));
            } else if (answer) {
                body.writeBytes(in.readAllBytes());
            }
            m.whole = true;
        } catch (IOException e) {
            m.whole = false;
        }
        m.body = body.toByteArray();
        return m;
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] part = new byte[8192];
        int left = size;
        while (left > 0) {
            int n = in.read(part, 0, Math.min(left, part.length));
            if (n < 0) {
                throw new EOFException();
            }
            out.write(part, 0, n);
            left -= n;
        }
    }

    static byte[] latin(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** What a server does with a request; throwing closes the channel. */
    interface Handler {
        void handle(Message request, Channel channel) throws Exception;
    }

    /** One channel that a server has accepted. */
    static final class Channel {
        final Socket socket;
        final OutputStream out;
        boolean close;

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void answer(int status, String fields, byte[] body) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(latin("HTTP/1.1 " + status + " S\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n"));
            all.writeBytes(body);
            write(all.toByteArray());
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(latin(Integer.toHexString(bytes.length) + "\r\n"));
            all.writeBytes(bytes);
            all.writeBytes(latin("\r\n"));
            write(all.toByteArray());
        }

        /** Closes with a reset, as a crash does. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }

    /** A server on a loopback address: one thread a channel, one request at a time on it. */
    static final class Server implements AutoCloseable {
        final ServerSocket listening;
        final Set<Channel> channels = ConcurrentHashMap.newKeySet();
        private final Handler handler;

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            this.listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            Thread t = new Thread(this::accept);
            t.setDaemon(true);
            t.start();
        }

        int port() {
            return listening.getLocalPort();
        }

        private void accept() {
            try {
                while (true) {
                    Channel channel = new Channel(listening.accept());
                    channel.socket.setTcpNoDelay(true);
                    channels.add(channel);
                    Thread t = new Thread(() -> serve(channel));
                    t.setDaemon(true);
                    t.start();
                }
            } catch (IOException e) {
                // closed
            }
        }

        private void serve(Channel channel) {
            try (Socket socket = channel.socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!channel.close) {
                    Message request = read(in, false);
                    if (!request.whole) {
                        return;
                    }
                    handler.handle(request, channel);
                }
            } catch (Exception e) {
                // the channel has ended
            } finally {
                channels.remove(channel);
            }
        }

        /** Ends as a crashed process does: nobody listens, and all channels are reset. */
        void crash() {
            try {
                listening.close();
            } catch (IOException e) {
                // closed already
            }
            channels.forEach(Channel::reset);
        }

        @Override
        public void close() {
            crash();
        }
    }
}
