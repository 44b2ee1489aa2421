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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Calls between two daemons over loopback. */
public final class PeerLinksTest {
    private static final MembershipKeys KEYS =
            MembershipKeys.single(ByteString.copyFromUtf8("a shared key of sixteen or more"));
    private static final PeerSettings SETTINGS =
            new PeerSettings(2, 2000, 100, 400, 1 << 20, 16 << 10, 64 << 10, 64, 1 << 20);
    private static final long LONG_MS = 30_000;

    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterMethod
    public void closeAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        open.clear();
    }

    @Test
    public void aCallYieldsItsChunksInOrderAndThenItsReply() {
        InetSocketAddress peer = serve((method, request, responder) -> {
            IntStream.range(0, 100).forEach(i -> responder.chunk(utf8(i + ",")));
            responder.end(utf8(method + ":" + request.toStringUtf8()));
        });
        Recorded call = call(peer, "echo", "hello");
        assertEquals(call.reply().toStringUtf8(), "echo:hello");
        assertEquals(call.all().toStringUtf8(), join(100));
    }

    @Test
    public void answersThatCrossReachTheirOwnRequests() {
        List<Runnable> answers = new ArrayList<>();
        CountDownLatch asked = new CountDownLatch(50);
        InetSocketAddress peer = serve((method, request, responder) -> {
            synchronized (answers) {
                answers.add(0, () -> responder.end(request));
            }
            asked.countDown();
        });
        PeerLinks client = links(KEYS);
        List<Recorded> calls = IntStream.range(0, 50)
                .mapToObj(i -> call(client, peer, "echo", "request " + i, LONG_MS))
                .toList();
        await(asked);
        synchronized (answers) {
            answers.forEach(Runnable::run);
        }
        IntStream.range(0, 50).forEach(i -> assertEquals(calls.get(i).reply().toStringUtf8(), "request " + i));
    }

    @Test
    public void aRefusalOfThePeerIsToldAsItIs() {
        InetSocketAddress peer = serve((method, request, responder) -> {
            throw new GatewayException(ErrorCode.NOT_OWNER, RunState.NOT_RUN, 250, "another host owns it");
        });
        GatewayException failure = call(peer, "call", "x").failure();
        assertEquals(failure.code(), ErrorCode.NOT_OWNER);
        assertEquals(failure.runState(), RunState.NOT_RUN);
        assertEquals(failure.retryAfterMs(), 250);
    }

    @Test
    public void aPeerThatCannotBeReachedDidNotRunTheCall() {
        GatewayException failure =
                call(new InetSocketAddress("127.0.0.1", 1), "call", "x").failure();
        assertEquals(failure.runState(), RunState.NOT_RUN);
    }

    @Test
    public void aCallThatWasWrittenFailsAsUnknownWhenThePeerDies() {
        CountDownLatch asked = new CountDownLatch(1);
        PeerLinks server = links(KEYS);
        InetSocketAddress peer = listen(server, (method, request, responder) -> asked.countDown());
        Recorded call = call(peer, "call", "x");
        await(asked);
        server.close();
        assertEquals(call.failure().runState(), RunState.UNKNOWN);
    }

    @Test
    public void aSilentConnectionIsDroppedAndANewOneWorks() {
        silenceAndRetry(true, true);
        silenceAndRetry(true, false);
        silenceAndRetry(false, true);
    }

    @Test
    public void aConnectionThatStaysSilentFromTheStartDidNotRunTheCall() {
        InetSocketAddress peer = serve((method, request, responder) -> responder.end(request));
        FaultProxy proxy = proxy(peer);
        PeerLinks client = links(KEYS);
        assertEquals(call(client, proxy.address(), "echo", "a", LONG_MS).reply(), utf8("a"));
        proxy.silence(true, true);
        call(client, proxy.address(), "echo", "b", LONG_MS).failure();
        assertEquals(call(client, proxy.address(), "echo", "c", LONG_MS).reply(), utf8("c"));
        assertEquals(proxy.connections(), 2);
    }

    @Test
    public void aCancelledCallEndsOnBothSides() {
        CompletableFuture<Responder> serving = new CompletableFuture<>();
        CountDownLatch cancelled = new CountDownLatch(1);
        InetSocketAddress peer = serve((method, request, responder) -> {
            responder.onCancel(cancelled::countDown);
            serving.complete(responder);
        });
        Recorded recorded = new Recorded();
        PeerLinks client = links(KEYS);
        PeerCall call = client.call(peer, "call", utf8("x"), now() + LONG_MS, recorded);
        Responder responder = serving.join();
        call.cancel();
        await(cancelled);
        responder.end(utf8("late"));
        GatewayException failure = recorded.failure();
        assertEquals(failure.code(), ErrorCode.CANCELLED);
        assertEquals(failure.runState(), RunState.UNKNOWN);
        assertEquals(call(client, peer, "call", "y", 200).failure().code(), ErrorCode.DEADLINE_EXCEEDED);
        assertEquals(recorded.ends.get(), 1);
    }

    @Test
    public void aPausedReaderHoldsThePeerBackAndLosesNothing() {
        AtomicInteger sent = new AtomicInteger();
        AtomicReference<Responder> serving = new AtomicReference<>();
        CountDownLatch full = new CountDownLatch(1);
        ByteString part = ByteString.copyFrom(new byte[1000]);
        InetSocketAddress peer = serve((method, request, responder) -> {
            serving.set(responder);
            pump(responder, part, sent, full);
            responder.onDrained(() -> pump(responder, part, sent, full));
        });
        PeerLinks client = links(KEYS);
        Recorded recorded = new Recorded();
        PeerCall call = client.call(peer, "stream", utf8("x"), now() + LONG_MS, recorded);
        call.pause();
        await(full);
        assertTrue(sent.get() < 200, "sent although paused: " + sent.get());
        call.resume();
        recorded.reply();
        assertEquals(recorded.all().size(), 200 * 1000);
    }

    @Test
    public void aReaderThatIsFarTooSlowFailsAlone() {
        CountDownLatch refused = new CountDownLatch(1);
        InetSocketAddress peer = serve((method, request, responder) -> {
            if (method.equals("flood")) {
                responder.onCancel(refused::countDown);
                IntStream.range(0, 300).forEach(i -> responder.chunk(ByteString.copyFrom(new byte[1000])));
            } else {
                responder.end(request);
            }
        });
        PeerLinks client = links(KEYS);
        Recorded recorded = new Recorded();
        client.call(peer, "flood", utf8("x"), now() + LONG_MS, recorded).pause();
        await(refused);
        assertEquals(recorded.failure().code(), ErrorCode.OVERLOADED);
        assertEquals(call(client, peer, "echo", "fine", LONG_MS).reply(), utf8("fine"));
    }

    @Test
    public void aStoppingPeerRefusesNewCallsAndEndsThoseUnderWay() {
        CompletableFuture<Responder> serving = new CompletableFuture<>();
        PeerLinks server = links(KEYS);
        InetSocketAddress peer = listen(server, (method, request, responder) -> serving.complete(responder));
        PeerLinks client = links(KEYS);
        Recorded underWay = call(client, peer, "call", "x", LONG_MS);
        Responder responder = serving.join();
        server.stopAccepting();
        GatewayException refusal = call(client, peer, "call", "y", LONG_MS).failure();
        assertEquals(refusal.runState(), RunState.NOT_RUN);
        responder.end(utf8("whole"));
        assertEquals(underWay.reply(), utf8("whole"));
    }

    @Test
    public void aPeerWithAnotherKeyIsNotServed() {
        InetSocketAddress peer = serve((method, request, responder) -> responder.end(request));
        PeerLinks stranger = links(MembershipKeys.single(ByteString.copyFromUtf8("another key of sixteen or more")));
        assertEquals(call(stranger, peer, "echo", "x", LONG_MS).failure().runState(), RunState.NOT_RUN);
    }

    @Test
    public void garbageClosesOnlyItsOwnConnection() throws IOException {
        InetSocketAddress peer = serve((method, request, responder) -> responder.end(request));
        try (Socket socket = new Socket("127.0.0.1", peer.getPort())) {
            socket.getOutputStream().write(new byte[] {-1, -1, -1, -1, -1, -1, -1, -1});
            socket.setSoTimeout(30_000);
            InputStream in = socket.getInputStream();
            assertEquals(in.read(), -1);
        }
        assertEquals(call(peer, "echo", "x").reply(), utf8("x"));
    }

    @Test
    public void lateDuplicateAndUnknownFramesReachNoOtherRequest() throws Exception {
        try (RawPeer raw = new RawPeer()) {
            PeerLinks client = links(KEYS);
            Recorded first = call(client, raw.address(), "call", "first", LONG_MS);
            long one = raw.accept();
            raw.end(one, "one");
            raw.end(one, "one again");
            raw.end(99, "nobody's");
            assertEquals(first.reply(), utf8("one"));
            Recorded second = call(client, raw.address(), "call", "second", LONG_MS);
            long two = raw.nextOpen();
            raw.end(one, "late");
            raw.end(two, "two");
            assertEquals(second.reply(), utf8("two"));
            assertEquals(first.ends.get(), 1);
            assertEquals(client.counters().strayFrames(), 3);
        }
    }

    /** A peer whose frames the test writes itself. */
    private static final class RawPeer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0);
        private Socket socket;

        RawPeer() throws IOException {}

        InetSocketAddress address() {
            return new InetSocketAddress("127.0.0.1", server.getLocalPort());
        }

        long accept() throws IOException {
            socket = server.accept();
            Hello theirs = read().getHello();
            Handshake handshake = new Handshake(KEYS, false, new HostId("raw"), "v9");
            Proof proof = handshake.greeted(theirs);
            write(Frame.newBuilder().setHello(handshake.hello()));
            write(Frame.newBuilder().setProof(proof));
            assertTrue(handshake.verify(read().getProof()));
            return nextOpen();
        }

        long nextOpen() throws IOException {
            while (true) {
                Frame frame = read();
                if (frame.hasPing()) {
                    write(Frame.newBuilder()
                            .setPong(Pong.newBuilder().setNumber(frame.getPing().getNumber())));
                } else if (frame.hasOpen()) {
                    assertFalse(frame.getOpen().equals(Open.getDefaultInstance()));
                    return frame.getStream();
                }
            }
        }

        void end(long stream, String reply) throws IOException {
            write(Frame.newBuilder().setStream(stream).setEnd(End.newBuilder().setReply(utf8(reply))));
        }

        @Override
        public void close() throws IOException {
            socket.close();
            server.close();
        }

        private Frame read() throws IOException {
            return Frame.parseDelimitedFrom(socket.getInputStream());
        }

        private void write(Frame.Builder frame) throws IOException {
            frame.build().writeDelimitedTo(socket.getOutputStream());
        }
    }

    private void silenceAndRetry(boolean toServer, boolean toClient) {
        AtomicInteger served = new AtomicInteger();
        CountDownLatch asked = new CountDownLatch(1);
        InetSocketAddress peer = serve((method, request, responder) -> {
            served.incrementAndGet();
            if (method.equals("hang")) {
                asked.countDown();
            } else {
                responder.end(request);
            }
        });
        FaultProxy proxy = proxy(peer);
        PeerLinks client = links(KEYS);
        Recorded lost = call(client, proxy.address(), "hang", "a", LONG_MS);
        await(asked);
        proxy.silence(toServer, toClient);
        GatewayException failure = lost.failure();
        assertEquals(failure.runState(), RunState.UNKNOWN);
        assertEquals(call(client, proxy.address(), "echo", "b", LONG_MS).reply(), utf8("b"));
        assertEquals(served.get(), 2);
        assertEquals(client.counters().silent(), 1);
    }

    private static void pump(Responder responder, ByteString part, AtomicInteger sent, CountDownLatch full) {
        while (sent.get() < 200) {
            sent.incrementAndGet();
            if (!responder.chunk(part)) {
                full.countDown();
                return;
            }
        }
        responder.end(ByteString.EMPTY);
    }

    private PeerLinks links(MembershipKeys keys) {
        PeerLinks made =
                new PeerLinks(SETTINGS, keys, new HostId("host-" + open.size()), "v1", System::currentTimeMillis);
        open.add(made);
        return made;
    }

    private FaultProxy proxy(InetSocketAddress target) {
        FaultProxy made = new FaultProxy(target);
        open.add(made);
        return made;
    }

    private InetSocketAddress serve(Handler handler) {
        return listen(links(KEYS), handler);
    }

    private static InetSocketAddress listen(PeerLinks links, Handler handler) {
        return links.listen(new InetSocketAddress("127.0.0.1", 0), handler).join();
    }

    private Recorded call(InetSocketAddress peer, String method, String request) {
        return call(links(KEYS), peer, method, request, LONG_MS);
    }

    private static Recorded call(PeerLinks from, InetSocketAddress peer, String method, String request, long forMs) {
        Recorded recorded = new Recorded();
        from.call(peer, method, utf8(request), now() + forMs, recorded);
        return recorded;
    }

    private static long now() {
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

    private static String join(int count) {
        StringBuilder text = new StringBuilder();
        IntStream.range(0, count).forEach(i -> text.append(i).append(','));
        return text.toString();
    }
}
