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

/** A backend server that answers each request as told, byte by byte. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket listener;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    final List<Seen> seen = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();

    /** A request that came. */
    record Seen(String line, String head, String body) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }
    }

    /** Answers one request; may write what it likes and close. */
    @FunctionalInterface
    interface Script {
        void answer(Seen request, OutputStream out, Socket socket) throws IOException, InterruptedException;
    }

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Thread accept = new Thread(this::accept, "scripted-server");
        accept.setDaemon(true);
        accept.start();
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

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                connections.incrementAndGet();
                Thread serve = new Thread(() -> serve(socket), "scripted-connection");
                serve.setDaemon(true);
                serve.start();
            }
        } catch (IOException e) {
            // Closed: the test is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Seen request = read(in);
                seen.add(request);
                script.answer(request, socket.getOutputStream(), socket);
                socket.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException e) {
            // The connection is over.
        }
    }

    static Seen read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.write(b);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        Seen without = new Seen(text.substring(0, text.indexOf("\r\n")), text, "");
        String length = without.header("content-length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return new Seen(without.line(), text, new String(body, StandardCharsets.UTF_8));
    }
}
