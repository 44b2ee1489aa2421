package org.celerygw.gateway.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.celerygw.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * A pool of HTTP/1.1 connections to one origin address, each carrying one request at a time. Not thread-safe: used on the
 * event loop only.
 */
public final class OriginPool {
    private final Bootstrap bootstrap;
    private final String address;
    private final Clock clock;
    private final Limits limits;
    private final String requestIdField;
    private final Deque<OriginChannel> idle = new ArrayDeque<>();
    private boolean closed;
    private long connectionsOpened;
    private long unassignedData;

    /**
     * The limits of a pool.
     *
     * @param connectTimeoutMs the maximum time to establish a connection, in ms
     * @param maxIdleMs how long an idle connection stays open whose origin states no time-out, in ms
     * @param maxStatedIdleMs how long an idle connection stays open at most whose origin states a time-out, in ms
     * @param maxIdleConnections how many idle connections stay open
     * @param maxResponseBytes how many bytes an origin may send for one request, framing included; then the request fails
     */
    public record Limits(
            int connectTimeoutMs, long maxIdleMs, long maxStatedIdleMs, int maxIdleConnections, long maxResponseBytes) {
        /**
         * Creates limits by which no idle connection stays open for longer, whatever its origin states.
         *
         * @param connectTimeoutMs the maximum time to establish a connection, in ms
         * @param maxIdleMs how long an idle connection stays open, in ms
         * @param maxIdleConnections how many idle connections stay open
         * @param maxResponseBytes how many bytes an origin may send for one request
         */
        public Limits(int connectTimeoutMs, long maxIdleMs, int maxIdleConnections, long maxResponseBytes) {
            this(connectTimeoutMs, maxIdleMs, maxIdleMs, maxIdleConnections, maxResponseBytes);
        }
    }

    /** A request in flight. */
    public interface PendingRequest {
        /** Cancels the request and closes its connection; the response handler is not called any more. */
        void cancel();

        /**
         * Sets whether the response is read. While it is not, the origin can send no more than the buffers of the connection
         * hold, and its end or failure is not noticed.
         *
         * @param reading false to pause; a response is read from the start
         */
        void setReading(boolean reading);

        /**
         * Returns how many requests its connection had carried before.
         *
         * @return 0 for the first request of a connection
         */
        int earlierRequests();
    }

    /**
     * Creates a pool without connections, whose origin's responses name no request.
     *
     * @param loop the event loop on which the connections run
     * @param clock the clock by which idle times are measured
     * @param ip the origin's IP address
     * @param port the origin's port
     * @param limits the limits on connect time and idle connections
     */
    public OriginPool(EventLoop loop, Clock clock, String ip, int port, Limits limits) {
        this(loop, clock, ip, port, limits, "");
    }

    /**
     * Creates a pool without connections.
     *
     * @param loop the event loop on which the connections run
     * @param clock the clock by which idle times are measured
     * @param ip the origin's IP address
     * @param port the origin's port
     * @param limits the limits on connect time and idle connections
     * @param requestIdField the header field by which a response names its request; empty if there is none
     */
    public OriginPool(EventLoop loop, Clock clock, String ip, int port, Limits limits, String requestIdField) {
        this.clock = clock;
        this.limits = limits;
        this.requestIdField = requestIdField;
        this.address = ip + ":" + port;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .remoteAddress(ip, port)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_RCVBUF, BoundedReads.SOCKET_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, BoundedReads.allocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs());
    }

    /**
     * Sends a request on an idle connection or a new one.
     *
     * @param request the request to send
     * @param responseFilter whether a response head belongs to this request; other responses are skipped
     * @param maxIdleMs the longest idle time after which a connection is reused, in ms; half of the time-out that the
     *     origin states for the connection, if that is longer
     * @param handler receives the response
     * @return the request in flight, which can be cancelled
     */
    public PendingRequest send(
            OriginRequest request, Predicate<HttpResponse> responseFilter, long maxIdleMs, ResponseHandler handler) {
        OriginChannel reused = takeIdle(maxIdleMs);
        if (reused != null) {
            return reused.start(request, responseFilter, handler);
        }
        OriginChannel created = new OriginChannel(this);
        open(created).addListener(connected -> {
            if (!connected.isSuccess()) {
                created.onConnectFailure();
            }
        });
        return created.start(request, responseFilter, handler);
    }

    private ChannelFuture open(OriginChannel created) {
        connectionsOpened++;
        return bootstrap
                .clone()
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new ReceivedBytesLimiter(created),
                                        new HttpRequestEncoder(),
                                        created.decoder(),
                                        created);
                    }
                })
                .connect();
    }

    /**
     * Opens a connection and keeps it for later requests.
     *
     * @param callback called with whether the connection was established
     */
    public void probe(Consumer<Boolean> callback) {
        OriginChannel created = new OriginChannel(this);
        open(created).addListener(connected -> {
            if (connected.isSuccess()) {
                release(created);
            }
            callback.accept(connected.isSuccess());
        });
    }

    /**
     * Returns the origin's address.
     *
     * @return IP address and port
     */
    public String address() {
        return address;
    }

    /**
     * Returns how many connections this pool has opened so far.
     *
     * @return the number of connection attempts, including failed ones
     */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /**
     * Returns how often connections have received data that belongs to no request.
     *
     * @return the number of such bytes or responses
     */
    public long unassignedData() {
        return unassignedData;
    }

    void countUnassigned() {
        unassignedData++;
    }

    /** Closes connections that have been idle for too long; should be called about once a second. */
    public void sweep() {
        Iterator<OriginChannel> channels = idle.iterator();
        while (channels.hasNext()) {
            OriginChannel channel = channels.next();
            if (channel.idleMs(clock.nowMs()) > channel.maxIdleMs(limits)) {
                channels.remove();
                channel.close();
            }
        }
    }

    /**
     * Closes all idle connections. Called when a connection to this origin has stopped responding, since the idle ones may
     * be dead as well.
     */
    public void closeIdle() {
        idle.forEach(OriginChannel::close);
        idle.clear();
    }

    /** Closes idle connections now and busy ones after their response. */
    public void close() {
        closed = true;
        closeIdle();
    }

    private @Nullable OriginChannel takeIdle(long maxIdleMs) {
        // The most recently used one is the last; it is the least likely to be closed by its origin at this moment.
        while (!idle.isEmpty()) {
            OriginChannel channel = idle.peekLast();
            long idleMs = channel.idleMs(clock.nowMs());
            boolean usable = channel.isOpen() && idleMs <= channel.maxIdleMs(limits);
            if (usable && idleMs > Math.max(maxIdleMs, channel.statedTimeoutMs() / 2)) {
                // Too old for this request, as are all the others, but not for one that can be repeated.
                return null;
            }
            idle.removeLast();
            if (usable) {
                return channel;
            }
            channel.close();
        }
        return null;
    }

    long maxResponseBytes() {
        return limits.maxResponseBytes();
    }

    @Nullable
    SplicedBodyDetector newSplicedBodyDetector() {
        return requestIdField.isEmpty() ? null : new SplicedBodyDetector(requestIdField);
    }

    void release(OriginChannel channel) {
        if (closed || idle.size() >= limits.maxIdleConnections()) {
            channel.close();
            return;
        }
        channel.markIdle(clock.nowMs());
        idle.addLast(channel);
    }

    void remove(OriginChannel channel) {
        idle.remove(channel);
    }
}
