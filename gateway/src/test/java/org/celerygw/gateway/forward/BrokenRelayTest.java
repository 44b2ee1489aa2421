package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.celerygw.core.servers.BackendServer;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.turns.Scheduler;
import org.celerygw.gateway.MonotonicClock;
import org.celerygw.gateway.net.HttpListener;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a peer gets of a response that breaks off while a host passes it on. */
public final class BrokenRelayTest {
    private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ncontent-length: 2\r\n\r\nok";
    private static final String IN_CHUNKS =
            "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    private static final String WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nid: 1\r\nsigned: x\r\n\r\nok";
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nid: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int TIMEOUT_MS = 10_000;

    private MultiThreadIoEventLoopGroup group;
    private ScriptedServer server;
    private int relayPort;
    private volatile String answer;
    private volatile boolean resets;

    @BeforeClass
    public void start() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        server = new ScriptedServer((request, out, socket) -> {
            out.write(answer.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            socket.setSoLinger(resets, 0);
            socket.close();
        });
        MonotonicClock clock = new MonotonicClock();
        Scheduler scheduler = (delayMs, task) -> {
            var unused = loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
        };
        OriginPools pools = new OriginPools(loop, clock, "id");
        ServerList servers = new ServerList(pools::remove);
        ServerLinks links = new ServerLinks(clock, scheduler, new TestDialect(), servers, pools, PeerRoute.NONE);
        CompletableFuture<HttpListener> listening = new CompletableFuture<>();
        loop.execute(() -> {
            servers.put(new BackendServer("i1", "s", "127.0.0.1", server.port(), "z", "v1", 8, false, 1));
            HttpListener.start(loop, clock, "127.0.0.1", 0, new ServerRelay(links, servers, scheduler))
                    .onSuccess(listening::complete);
        });
        relayPort = listening.get(TIMEOUT_MS, TimeUnit.MILLISECONDS).port();
    }

    @AfterClass
    public void stop() throws IOException {
        server.close();
        var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] answers() {
        List<Object[]> cases = new ArrayList<>();
        for (String text : List.of(WITH_LENGTH, IN_CHUNKS, WITHOUT_LENGTH, REFUSAL)) {
            cases.add(new Object[] {text, false});
            cases.add(new Object[] {text, true});
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a broken response that the host which passes it on frames as whole. */
    @Test(dataProvider = "answers")
    public void responseThatBreaksOffIsPassedOnAsBroken(String text, boolean reset) throws Exception {
        boolean endsWithConnection = text.equals(WITHOUT_LENGTH) && !reset;
        int wholeBytes = endsWithConnection ? text.indexOf("\r\n\r\n") + 4 : text.length();
        resets = reset;
        List<String> taken = new ArrayList<>();
        for (int length = 0; length < wholeBytes; length++) {
            answer = text.substring(0, length);
            String received = send();
            if (received.contains("content-length") || received.endsWith(LAST_CHUNK)) {
                taken.add(answer + ": " + received);
            }
        }
        assertEquals(taken, List.of());
    }

    /** Guards against a status that the protocol does not have and that a peer gets as the server's. */
    @Test
    public void unsoundStatusIsNotPassedOnToAPeer() throws Exception {
        resets = false;
        for (String status :
                List.of("000", "001", "099", "600", "999", "1000", "-01", "2", "0200", "+200", "2xx", "")) {
            answer = WITH_LENGTH.replace("200 OK", status + " Bad");
            assertEquals(send(), "", status);
        }
    }

    /** A whole response is passed on as one. */
    @Test
    public void wholeResponseIsPassedOnAsWhole() throws Exception {
        resets = false;
        for (String text : List.of(WITH_LENGTH, IN_CHUNKS, WITHOUT_LENGTH)) {
            answer = text;
            String received = send();
            assertTrue(received.endsWith("2\r\nok\r\n" + LAST_CHUNK), received);
        }
    }

    /** Sends a request as a peer does, and returns what is received until the connection is closed. */
    private String send() throws IOException {
        String request =
                "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nid: 1\r\n" + RelayHeaders.SERVER + ": i1\r\n"
                        + RelayHeaders.REQUEST + ": 1\r\n" + RelayHeaders.TIMEOUT_MS + ": " + TIMEOUT_MS + "\r\n\r\n";
        try (Socket socket = new Socket("127.0.0.1", relayPort)) {
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
