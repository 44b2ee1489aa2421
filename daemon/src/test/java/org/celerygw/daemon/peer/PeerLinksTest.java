package org.celerygw.daemon.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.celerygw.api.gen.peer.End;
import org.celerygw.api.gen.peer.Frame;
import org.celerygw.api.gen.peer.Hello;
import org.celerygw.api.gen.peer.Open;
import org.celerygw.api.gen.peer.Pong;
import org.celerygw.api.gen.peer.Proof;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.HostId;
import org.celerygw.core.membership.MembershipKeys;
import org.celerygw.standin.fleet.TcpFaultProxy;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Tests calls between two daemons over the loopback interface. */
public final class PeerLinksTest {
    private static final MembershipKeys KEYS =
            MembershipKeys.single(ByteString.copyFromUtf8("a shared key of sixteen or more"));
    private static final PeerSettings SETTINGS =
            new PeerSettings(2, 2000, 100, 400, 1 << 20, 16 << 10, 64 << 10, 64, 1 << 20);
    /** Settings of a peer that does not notice a silent connection during a test. */
    private static final PeerSettings PATIENT_SETTINGS =
            new PeerSettings(2, 2000, 60_000, 240_000, 1 << 20, 16 << 10, 64 << 10, 64, 1 << 20);

    private static final long LONG_TIMEOUT_MS = 30_000;

    private final List<AutoCloseable> closeables = new ArrayList<>();

    @AfterMethod
    public void closeAll() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        closeables.clear();
    }

    @Test
    public void callReceivesChunksInOrderBeforeReply() {
        InetSocketAddress peer = serve((method, request, responder) -> {
            IntStream.range(0, 100).forEach(i -> responder.sendChunk(utf8(i + ",")));
            responder.complete(utf8(method + ":" + request.toStringUtf8()));
        });
        RecordingListener call = call(peer, "echo", "hello");
        assertEquals(call.reply().toStringUtf8(), "echo:hello");
        assertEquals(call.receivedBytes().toStringUtf8(), numbersBelow(100));
    }

    @Test
    public void repliesSentInReverseOrderReachTheirRequests() {
        List<Runnable> replies = new ArrayList<>();
        CountDownLatch requestsReceived = new CountDownLatch(50);
        InetSocketAddress peer = serve((method, request, responder) -> {
            synchronized (replies) {
                replies.add(0, () -> responder.complete(request));
            }
            requestsReceived.countDown();
        });
        PeerLinks client = createLinks(KEYS);
        List<RecordingListener> calls = IntStream.range(0, 50)
                .mapToObj(i -> call(client, peer, "echo", "request " + i, LONG_TIMEOUT_MS))
                .toList();
        await(requestsReceived);
        synchronized (replies) {
            replies.forEach(Runnable::run);
        }
        IntStream.range(0, 50).forEach(i -> assertEquals(calls.get(i).reply().toStringUtf8(), "request " + i));
    }

    @Test
    public void peerErrorReachesCallerUnchanged() {
        InetSocketAddress peer = serve((method, request, responder) -> {
            throw new GatewayException(ErrorCode.NOT_OWNER, RunState.NOT_RUN, 250, "another host owns it");
        });
        GatewayException failure = call(peer, "call", "x").failure();
        assertEquals(failure.code(), ErrorCode.NOT_OWNER);
        assertEquals(failure.runState(), RunState.NOT_RUN);
        assertEquals(failure.retryAfterMs(), 250);
    }

    @Test
    public void callToUnreachablePeerFailsAsNotRun() {
        GatewayException failure =
                call(new InetSocketAddress("127.0.0.1", 1), "call", "x").failure();
        assertEquals(failure.runState(), RunState.NOT_RUN);
    }

    @Test
    public void writtenCallFailsAsUnknownWhenPeerCloses() {
        CountDownLatch requestReceived = new CountDownLatch(1);
        PeerLinks server = createLinks(KEYS);
        InetSocketAddress peer = listen(server, (method, request, responder) -> requestReceived.countDown());
        RecordingListener call = call(peer, "call", "x");
        await(requestReceived);
        server.close();
        assertEquals(call.failure().runState(), RunState.UNKNOWN);
    }

    @Test
    public void silentConnectionIsDroppedAndReplaced() {
        checkSilentConnectionIsReplaced(true, true);
        checkSilentConnectionIsReplaced(true, false);
        checkSilentConnectionIsReplaced(false, true);
    }

    @Test
    public void callOnSilencedConnectionFailsAndNextCallReconnects() {
        InetSocketAddress peer = serve((method, request, responder) -> responder.complete(request));
        TcpFaultProxy proxy = createProxy(peer);
        PeerLinks client = createLinks(KEYS);
        assertEquals(call(client, proxy.address(), "echo", "a", LONG_TIMEOUT_MS).reply(), utf8("a"));
        proxy.dropTraffic(true, true);
        call(client, proxy.address(), "echo", "b", LONG_TIMEOUT_MS).failure();
        assertEquals(call(client, proxy.address(), "echo", "c", LONG_TIMEOUT_MS).reply(), utf8("c"));
        assertEquals(proxy.connectionCount(), 2);
    }

    @Test
    public void cancelledCallEndsOnBothSides() {
        CompletableFuture<PeerResponder> responderFuture = new CompletableFuture<>();
        CountDownLatch cancelled = new CountDownLatch(1);
        InetSocketAddress peer = serve((method, request, responder) -> {
            responder.onCancel(cancelled::countDown);
            responderFuture.complete(responder);
        });
        RecordingListener listener = new RecordingListener();
        PeerLinks client = createLinks(KEYS);
        PeerCall call = client.call(peer, "call", utf8("x"), nowMs() + LONG_TIMEOUT_MS, listener);
        PeerResponder responder = responderFuture.join();
        call.cancel();
        await(cancelled);
        responder.complete(utf8("late"));
        GatewayException failure = listener.failure();
        assertEquals(failure.code(), ErrorCode.CANCELLED);
        assertEquals(failure.runState(), RunState.UNKNOWN);
        assertEquals(call(client, peer, "call", "y", 200).failure().code(), ErrorCode.DEADLINE_EXCEEDED);
        assertEquals(listener.endCount.get(), 1);
    }

    @Test
    public void pausedReaderLimitsSenderAndLosesNoData() {
        AtomicInteger chunksSent = new AtomicInteger();
        AtomicReference<PeerResponder> lastResponder = new AtomicReference<>();
        CountDownLatch backPressure = new CountDownLatch(1);
        ByteString chunk = ByteString.copyFrom(new byte[1000]);
        InetSocketAddress peer = serve((method, request, responder) -> {
            lastResponder.set(responder);
            sendUntilBackPressure(responder, chunk, chunksSent, backPressure);
            responder.onDrained(() -> sendUntilBackPressure(responder, chunk, chunksSent, backPressure));
        });
        PeerLinks client = createLinks(KEYS);
        RecordingListener listener = new RecordingListener();
        PeerCall call = client.call(peer, "stream", utf8("x"), nowMs() + LONG_TIMEOUT_MS, listener);
        call.pause();
        await(backPressure);
        assertTrue(chunksSent.get() < 200, "number of chunks sent to a paused reader: " + chunksSent.get());
        call.resume();
        listener.reply();
        assertEquals(listener.receivedBytes().size(), 200 * 1000);
    }

    @Test
    public void slowReaderFailsWithoutAffectingOtherCalls() {
        CountDownLatch callFailed = new CountDownLatch(1);
        InetSocketAddress peer = serve((method, request, responder) -> {
            if (method.equals("flood")) {
                responder.onCancel(callFailed::countDown);
                IntStream.range(0, 300).forEach(i -> responder.sendChunk(ByteString.copyFrom(new byte[1000])));
            } else {
                responder.complete(request);
            }
        });
        PeerLinks client = createLinks(KEYS);
        RecordingListener listener = new RecordingListener();
        client.call(peer, "flood", utf8("x"), nowMs() + LONG_TIMEOUT_MS, listener)
                .pause();
        await(callFailed);
        assertEquals(listener.failure().code(), ErrorCode.OVERLOADED);
        assertEquals(call(client, peer, "echo", "fine", LONG_TIMEOUT_MS).reply(), utf8("fine"));
    }

    @Test
    public void stoppingPeerRejectsNewCallsAndCompletesOpenOnes() {
        CompletableFuture<PeerResponder> responderFuture = new CompletableFuture<>();
        PeerLinks server = createLinks(KEYS);
        InetSocketAddress peer = listen(server, (method, request, responder) -> responderFuture.complete(responder));
        PeerLinks client = createLinks(KEYS);
        RecordingListener openCall = call(client, peer, "call", "x", LONG_TIMEOUT_MS);
        PeerResponder responder = responderFuture.join();
        server.stopAccepting();
        GatewayException rejection =
                call(client, peer, "call", "y", LONG_TIMEOUT_MS).failure();
        assertEquals(rejection.runState(), RunState.NOT_RUN);
        responder.complete(utf8("complete"));
        assertEquals(openCall.reply(), utf8("complete"));
    }

    @Test
    public void peerWithDifferentKeyIsRejected() {
        InetSocketAddress peer = serve((method, request, responder) -> responder.complete(request));
        PeerLinks otherKeyClient =
                createLinks(MembershipKeys.single(ByteString.copyFromUtf8("another key of sixteen or more")));
        assertEquals(
                call(otherKeyClient, peer, "echo", "x", LONG_TIMEOUT_MS)
                        .failure()
                        .runState(),
                RunState.NOT_RUN);
    }

    @Test
    public void malformedInputClosesOnlyItsConnection() throws IOException {
        InetSocketAddress peer = serve((method, request, responder) -> responder.complete(request));
        try (Socket socket = new Socket("127.0.0.1", peer.getPort())) {
            socket.getOutputStream().write(new byte[] {-1, -1, -1, -1, -1, -1, -1, -1});
            socket.setSoTimeout(30_000);
            InputStream input = socket.getInputStream();
            assertEquals(input.read(), -1);
        }
        assertEquals(call(peer, "echo", "x").reply(), utf8("x"));
    }

    @Test
    public void lateDuplicateAndUnknownFramesAreDropped() throws Exception {
        try (RawPeer raw = new RawPeer()) {
            PeerLinks client = createLinks(KEYS);
            RecordingListener first = call(client, raw.address(), "call", "first", LONG_TIMEOUT_MS);
            long firstId = raw.acceptAndReadOpen();
            raw.sendEnd(firstId, "one");
            raw.sendEnd(firstId, "one again");
            raw.sendEnd(99, "no such stream");
            assertEquals(first.reply(), utf8("one"));
            RecordingListener second = call(client, raw.address(), "call", "second", LONG_TIMEOUT_MS);
            long secondId = raw.readOpen();
            raw.sendEnd(firstId, "late");
            raw.sendEnd(secondId, "two");
            assertEquals(second.reply(), utf8("two"));
            assertEquals(first.endCount.get(), 1);
            assertEquals(client.counters().strayFrames(), 3);
        }
    }

    /** A peer whose frames the test reads and writes directly. */
    private static final class RawPeer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0);
        private Socket socket;

        RawPeer() throws IOException {}

        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", server.getLocalPort());
        }

        long acceptAndReadOpen() throws IOException {
            socket = server.accept();
            Hello clientHello = readFrame().getHello();
            Handshake handshake = new Handshake(KEYS, false, new HostId("raw"), "v9");
            Proof proof = handshake.receiveHello(clientHello);
            writeFrame(Frame.newBuilder().setHello(handshake.localHello()));
            writeFrame(Frame.newBuilder().setProof(proof));
            assertTrue(handshake.verify(readFrame().getProof()));
            return readOpen();
        }

        long readOpen() throws IOException {
            while (true) {
                Frame frame = readFrame();
                if (frame.hasPing()) {
                    writeFrame(Frame.newBuilder()
                            .setPong(Pong.newBuilder().setNumber(frame.getPing().getNumber())));
                } else if (frame.hasOpen()) {
                    assertFalse(frame.getOpen().equals(Open.getDefaultInstance()));
                    return frame.getStream();
                }
            }
        }

        void sendEnd(long streamId, String reply) throws IOException {
            writeFrame(Frame.newBuilder()
                    .setStream(streamId)
                    .setEnd(End.newBuilder().setReply(utf8(reply))));
        }

        @Override
        public void close() throws IOException {
            socket.close();
            server.close();
        }

        private Frame readFrame() throws IOException {
            return Frame.parseDelimitedFrom(socket.getInputStream());
        }

        private void writeFrame(Frame.Builder frame) throws IOException {
            frame.build().writeDelimitedTo(socket.getOutputStream());
        }
    }

    private void checkSilentConnectionIsReplaced(boolean toServer, boolean toClient) {
        AtomicInteger requestsServed = new AtomicInteger();
        CountDownLatch requestReceived = new CountDownLatch(1);
        // Only the client may close the silent connection: a close by the server is not counted as a missed heartbeat.
        InetSocketAddress peer = listen(createLinks(KEYS, PATIENT_SETTINGS), (method, request, responder) -> {
            requestsServed.incrementAndGet();
            if (method.equals("hang")) {
                requestReceived.countDown();
            } else {
                responder.complete(request);
            }
        });
        TcpFaultProxy proxy = createProxy(peer);
        PeerLinks client = createLinks(KEYS);
        RecordingListener silencedCall = call(client, proxy.address(), "hang", "a", LONG_TIMEOUT_MS);
        await(requestReceived);
        proxy.dropTraffic(toServer, toClient);
        GatewayException failure = silencedCall.failure();
        assertEquals(failure.runState(), RunState.UNKNOWN);
        assertEquals(call(client, proxy.address(), "echo", "b", LONG_TIMEOUT_MS).reply(), utf8("b"));
        assertEquals(requestsServed.get(), 2);
        assertEquals(client.counters().heartbeatTimeouts(), 1);
    }

    private static void sendUntilBackPressure(
            PeerResponder responder, ByteString chunk, AtomicInteger chunksSent, CountDownLatch backPressure) {
        while (chunksSent.get() < 200) {
            chunksSent.incrementAndGet();
            if (!responder.sendChunk(chunk)) {
                backPressure.countDown();
                return;
            }
        }
        responder.complete(ByteString.EMPTY);
    }

    private PeerLinks createLinks(MembershipKeys keys) {
        return createLinks(keys, SETTINGS);
    }

    private PeerLinks createLinks(MembershipKeys keys, PeerSettings settings) {
        PeerLinks links =
                new PeerLinks(settings, keys, new HostId("host-" + closeables.size()), "v1", System::currentTimeMillis);
        closeables.add(links);
        return links;
    }

    private TcpFaultProxy createProxy(InetSocketAddress target) {
        TcpFaultProxy proxy = new TcpFaultProxy(target);
        closeables.add(proxy);
        return proxy;
    }

    private InetSocketAddress serve(PeerCallHandler handler) {
        return listen(createLinks(KEYS), handler);
    }

    private static InetSocketAddress listen(PeerLinks links, PeerCallHandler handler) {
        return links.listen(new InetSocketAddress("127.0.0.1", 0), handler).join();
    }

    private RecordingListener call(InetSocketAddress peer, String method, String request) {
        return call(createLinks(KEYS), peer, method, request, LONG_TIMEOUT_MS);
    }

    private static RecordingListener call(
            PeerLinks client, InetSocketAddress peer, String method, String request, long timeoutMs) {
        RecordingListener listener = new RecordingListener();
        client.call(peer, method, utf8(request), nowMs() + timeoutMs, listener);
        return listener;
    }

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(60, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ByteString utf8(String text) {
        return ByteString.copyFromUtf8(text);
    }

    private static String numbersBelow(int count) {
        StringBuilder text = new StringBuilder();
        IntStream.range(0, count).forEach(i -> text.append(i).append(','));
        return text.toString();
    }
}
