package org.celerygw.gateway.forward;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend server on loopback whose responses are written byte by byte by a test's script. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();

    /** A request as received; the head consists of the request line and the header section. */
    record ReceivedRequest(String requestLine, String head, String body) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }
    }

    /** Responds to one request; may write any bytes, wait or close the socket. */
    @FunctionalInterface
    interface Script {
        void respond(ReceivedRequest request, OutputStream out, Socket socket) throws IOException, InterruptedException;
    }

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread acceptThread = new Thread(this::acceptConnections, "scripted-server");
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                connections.incrementAndGet();
                Thread connectionThread = new Thread(() -> serve(socket), "scripted-connection");
                connectionThread.setDaemon(true);
                connectionThread.start();
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                ReceivedRequest request = readRequest(in);
                requests.add(request);
                script.respond(request, socket.getOutputStream(), socket);
                socket.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            // The client or the script closed the connection, or the test ended.
        }
    }

    static ReceivedRequest readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection closed before the end of the header section");
            }
            head.write(b);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        ReceivedRequest withoutBody = new ReceivedRequest(text.substring(0, text.indexOf("\r\n")), text, "");
        String length = withoutBody.header("content-length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return new ReceivedRequest(withoutBody.requestLine(), text, new String(body, StandardCharsets.UTF_8));
    }
}
