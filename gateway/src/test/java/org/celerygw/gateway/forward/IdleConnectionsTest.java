package org.celerygw.gateway.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.celerygw.gateway.net.OriginPool;
import org.celerygw.gateway.net.OriginRequest;
import org.celerygw.gateway.net.ResponseHandler;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Guards against connections that are opened although an idle one is left, and against one that its server may close. */
public final class IdleConnectionsTest {
    private static final long ANY_AGE_MS = 60_000;
    private static final long AT_MOST_ONCE_MS = 1_500;

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterClass(alwaysRun = true)
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Sends requests at the same time, one for each maximum idle time, and waits for the responses. */
    private void send(OriginPool pool, long... maxIdleMs) throws Exception {
        CountDownLatch ended = new CountDownLatch(maxIdleMs.length);
        var unused = group.next().submit(() -> LongStream.of(maxIdleMs)
                .forEach(limitMs -> pool.send(
                        new OriginRequest(HttpMethod.GET, "/", new DefaultHttpHeaders().set("Host", "h"), new byte[0]),
                        head -> true,
                        limitMs,
                        new Handler(ended))));
        assertTrue(ended.await(10, TimeUnit.SECONDS));
        // The connection is released after the callback, in the same task.
        group.next().submit(() -> {}).get();
    }

    /** Counts complete responses only. */
    private record Handler(CountDownLatch ended) implements ResponseHandler {
        @Override
        public void onHead(HttpResponse head) {}

        @Override
        public void onBody(byte[] bytes) {}

        @Override
        public void onComplete() {
            ended.countDown();
        }

        @Override
        public void onFailure(boolean sent) {}
    }

    private ScriptedServer server(String keepAlive) throws Exception {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + keepAlive + "\r\n";
        return new ScriptedServer((request, out, socket) -> out.write(response.getBytes(StandardCharsets.US_ASCII)));
    }

    @Test
    public void statedTimeoutSaysHowLongAConnectionIsReused() throws Exception {
        try (ScriptedServer server = server("Keep-Alive: timeout=10\r\n")) {
            OriginPool pool = new OriginPool(
                    group.next(),
                    nowMs::get,
                    "127.0.0.1",
                    server.port(),
                    new OriginPool.Limits(500, 4_000, 30_000, 8, 9_999));
            send(pool, ANY_AGE_MS);
            nowMs.addAndGet(4_900);
            send(pool, AT_MOST_ONCE_MS);
            nowMs.addAndGet(8_700);
            send(pool, ANY_AGE_MS);
            assertEquals(pool.connectionsOpened(), 1);
            nowMs.addAndGet(5_100);
            send(pool, AT_MOST_ONCE_MS);
            assertEquals(pool.connectionsOpened(), 2, "an at-most-once request takes none that may be closed soon");
            nowMs.addAndGet(8_800);
            send(pool, ANY_AGE_MS);
            assertEquals(pool.connectionsOpened(), 3, "no request takes one that its server is about to close");
        }
    }

    @Test
    public void atMostOnceRequestLeavesOlderConnectionsToOthers() throws Exception {
        try (ScriptedServer server = server("")) {
            OriginPool pool = new OriginPool(
                    group.next(), nowMs::get, "127.0.0.1", server.port(), new OriginPool.Limits(500, 4_000, 8, 9_999));
            send(pool, ANY_AGE_MS);
            nowMs.addAndGet(2_000);
            send(pool, AT_MOST_ONCE_MS);
            assertEquals(pool.connectionsOpened(), 2);
            send(pool, ANY_AGE_MS, ANY_AGE_MS);
            assertEquals(pool.connectionsOpened(), 2, "the first connection is still there");
        }
    }
}
