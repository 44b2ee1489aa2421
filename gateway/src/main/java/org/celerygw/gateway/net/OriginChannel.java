package org.celerygw.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an origin. Carries one request at a time; it is closed when data arrives that belongs to no
 * request, and after the response in flight when that is a response to another one.
 */
final class OriginChannel extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger("origins");
    private static final int MAX_HEAD_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int MAX_SKIPPED_RESPONSES = 16;
    /** What a part of a body costs beside its bytes, so that a response has a bounded number of them. */
    private static final int PART_OVERHEAD_BYTES = 64;

    /** Servers state whole seconds, which may be rounded up; the rest is for the request's way. */
    private static final long STATED_TIMEOUT_MARGIN_MS = 1_250;
    /** As much as one read, so that a response can be paused after each of them. */
    private static final int MAX_COLLECTED_BYTES = 16_384;

    private final OriginPool pool;
    private final StrictResponseDecoder decoder = new StrictResponseDecoder(MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
    private @Nullable ChannelHandlerContext ctx;
    private @Nullable Exchange pending;
    private @Nullable ChannelFuture writeFuture;
    /** Body parts of the present read, which are passed on together: they may be as short as one byte. */
    private ByteArrayOutputStream collectedBody = new ByteArrayOutputStream();

    private @Nullable SplicedBodyDetector splicedBody;
    private boolean skippingResponse;
    private boolean keepAlive;
    private boolean responseComplete;
    private boolean hadForeignResponse;
    private int skippedResponses;
    private long receivedBytes;
    private int requestsStarted;
    private boolean closed;
    private long idleSinceMs;
    private long serverKeepAliveMs = Long.MAX_VALUE;

    OriginChannel(OriginPool pool) {
        this.pool = pool;
    }

    /** A request in flight and the handler of its response. */
    private static final class Exchange implements OriginPool.PendingRequest {
        private final OriginChannel channel;
        private final OriginRequest request;
        private final Predicate<HttpResponse> responseFilter;
        private final ResponseHandler handler;
        private final int earlierRequests;
        private boolean sent;
        private boolean finished;

        Exchange(
                OriginChannel channel,
                OriginRequest request,
                Predicate<HttpResponse> responseFilter,
                ResponseHandler handler) {
            this.channel = channel;
            this.earlierRequests = channel.requestsStarted;
            this.request = request;
            this.responseFilter = responseFilter;
            this.handler = handler;
        }

        @Override
        public void cancel() {
            if (!finished) {
                finished = true;
                channel.pending = null;
                channel.close();
            }
        }

        @Override
        public void setReading(boolean reading) {
            if (!finished) {
                channel.setReading(reading);
            }
        }

        @Override
        public int earlierRequests() {
            return earlierRequests;
        }

        void fail() {
            if (!finished) {
                finished = true;
                handler.onFailure(sent);
            }
        }

        void failMalformed() {
            if (!finished) {
                finished = true;
                handler.onMalformed();
            }
        }
    }

    OriginPool.PendingRequest start(
            OriginRequest request, Predicate<HttpResponse> responseFilter, ResponseHandler handler) {
        Exchange next = new Exchange(this, request, responseFilter, handler);
        requestsStarted++;
        pending = next;
        responseComplete = false;
        skippingResponse = false;
        skippedResponses = 0;
        receivedBytes = 0;
        decoder.setRequestMethod(request.method());
        if (ctx != null && ctx.channel().isActive()) {
            write(next);
        }
        return next;
    }

    /** Returns the handler that decodes the responses of this connection. */
    ChannelHandler decoder() {
        return decoder;
    }

    boolean isOpen() {
        return !closed && ctx != null && ctx.channel().isActive();
    }

    void close() {
        closed = true;
        ChannelActions.close(ctx);
    }

    private void setReading(boolean reading) {
        if (ctx != null) {
            ctx.channel().config().setAutoRead(reading);
        }
    }

    void onConnectFailure() {
        closed = true;
        fail();
    }

    long idleMs(long nowMs) {
        return nowMs - idleSinceMs;
    }

    void markIdle(long nowMs) {
        idleSinceMs = nowMs;
    }

    /**
     * Returns how long the connection may stay idle, in ms: below the time-out in the server's Keep-Alive header by a
     * margin, or for short time-outs 60 percent of it.
     */
    long maxIdleMs(OriginPool.Limits limits) {
        if (serverKeepAliveMs == Long.MAX_VALUE) {
            return limits.maxIdleMs();
        }
        long keptMs = Math.max(serverKeepAliveMs - STATED_TIMEOUT_MARGIN_MS, serverKeepAliveMs / 10 * 6);
        return Math.min(limits.maxStatedIdleMs(), keptMs);
    }

    /** Returns the time-out in the server's Keep-Alive header, in ms; 0 if it states none. */
    long statedTimeoutMs() {
        return serverKeepAliveMs == Long.MAX_VALUE ? 0 : serverKeepAliveMs;
    }

    /**
     * Counts bytes that have arrived, before they are decoded. Returns false, and closes the connection, if they belong to
     * no request or if the response to the request becomes too long.
     */
    boolean accepts(int bytes) {
        receivedBytes += bytes;
        if (pending != null && receivedBytes <= pool.maxResponseBytes()) {
            return true;
        }
        if (pending == null) {
            reportUnassigned("bytes without a request");
        }
        fail();
        close();
        return false;
    }

    /** Logs and counts received data that belongs to no request, unless the connection is closed already. */
    private void reportUnassigned(String what) {
        if (closed) {
            return;
        }
        pool.countUnassigned();
        LOG.atWarn()
                .addKeyValue("address", pool.address())
                .addKeyValue("received", what)
                .addKeyValue("requests", requestsStarted)
                .log("origins: data that belongs to no request; its connection is not used again");
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        if (closed) {
            ChannelActions.close(context);
        } else if (pending != null) {
            write(pending);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (pending == null || !(message instanceof HttpObject object)) {
                reportUnassigned("data after a response");
                close();
            } else if (object.decoderResult().isFailure()) {
                // What has just arrived may be foreign: the end of a chunk shows it only after its bytes.
                collectedBody.reset();
                reportUnassigned("malformed response");
                failMalformed(pending);
            } else {
                handleResponsePart(pending, object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        passOnBody();
        if (responseComplete && pending == null) {
            responseComplete = false;
            // An idle connection is read, so that its end is noticed.
            setReading(true);
            boolean beyondResponse = decoder.holdsPartOfMessage();
            if (beyondResponse) {
                reportUnassigned("beginning of a response after a response");
            }
            boolean requestWritten = writeFuture != null && writeFuture.isSuccess();
            if (keepAlive && requestWritten && !hadForeignResponse && !beyondResponse && !closed) {
                pool.release(this);
            } else {
                close();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closed = true;
        pool.remove(this);
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.atError()
                    .addKeyValue("address", pool.address())
                    .addKeyValue("cause", cause.toString())
                    .log("origins: handling a response has failed; its connection is closed");
        }
        // Reports a reset as a failure before the decoder can take the end of the connection for the end of the
        // response.
        fail();
        close();
    }

    private void write(Exchange next) {
        OriginRequest request = next.request;
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                request.headers(),
                EmptyHttpHeaders.INSTANCE);
        boolean hasBody = request.body().length > 0
                || HttpMethod.POST.equals(request.method())
                || HttpMethod.PUT.equals(request.method());
        if (hasBody) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        next.sent = true;
        if (ctx != null) {
            writeFuture = ctx.writeAndFlush(message);
            writeFuture.addListener(written -> {
                if (!written.isSuccess()) {
                    // A reset that a write notices closes the connection without an exception. Reports it before the
                    // decoder can take the end of the connection for the end of the response.
                    fail();
                    close();
                }
            });
        }
    }

    private void handleResponsePart(Exchange current, HttpObject object) {
        if (object instanceof HttpResponse head) {
            boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            skippingResponse = informational || !current.responseFilter.test(head);
            if (skippingResponse && !informational) {
                hadForeignResponse = true;
                reportUnassigned("response " + head.status().code() + " to another request");
            }
            keepAlive = HttpUtil.isKeepAlive(head);
            readKeepAliveTimeout(head);
            if (!skippingResponse) {
                splicedBody = pool.newSplicedBodyDetector();
                current.handler.onHead(head);
            } else if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
                fail();
                close();
            }
        }
        if (object instanceof HttpContent content && !current.finished) {
            handleContent(current, content);
        }
    }

    private void handleContent(Exchange current, HttpContent content) {
        if (!accepts(PART_OVERHEAD_BYTES)) {
            return;
        }
        if (!skippingResponse) {
            collectBody(content.content());
        }
        if (!(content instanceof LastHttpContent) || current.finished) {
            return;
        }
        if (skippingResponse) {
            skippingResponse = false;
            return;
        }
        passOnBody();
        if (current.finished) {
            return;
        }
        if (isSpliced()) {
            reportUnassigned("response in the body of a response");
            failMalformed(current);
            return;
        }
        current.finished = true;
        pending = null;
        responseComplete = true;
        current.handler.onComplete();
    }

    private boolean isSpliced() {
        if (splicedBody == null) {
            return false;
        }
        splicedBody.addBeyond(decoder.undecodedBytes());
        return splicedBody.found();
    }

    private void collectBody(ByteBuf part) {
        if (collectedBody.size() + part.readableBytes() > MAX_COLLECTED_BYTES) {
            passOnBody();
        }
        collectedBody.writeBytes(ByteBufUtil.getBytes(part));
    }

    /** Passes the collected body on; the handler may cancel the request. */
    private void passOnBody() {
        if (collectedBody.size() == 0) {
            return;
        }
        byte[] bytes = collectedBody.toByteArray();
        // Not reset, which would keep a buffer of the largest part for as long as the connection is open.
        collectedBody = new ByteArrayOutputStream();
        if (splicedBody != null) {
            splicedBody.add(bytes);
        }
        if (pending != null && !pending.finished) {
            pending.handler.onBody(bytes);
        }
    }

    private void readKeepAliveTimeout(HttpResponse head) {
        String value = head.headers().get("Keep-Alive", "");
        int start = value.indexOf("timeout=");
        if (start < 0) {
            return;
        }
        int from = start + "timeout=".length();
        int to = from;
        while (to < value.length() && to < from + 6 && Character.isDigit(value.charAt(to))) {
            to++;
        }
        if (to > from) {
            serverKeepAliveMs = 1_000L * Integer.parseInt(value.substring(from, to));
        }
    }

    private void failMalformed(Exchange current) {
        pending = null;
        current.failMalformed();
        close();
    }

    private void fail() {
        passOnBody();
        Exchange current = pending;
        pending = null;
        if (current != null) {
            current.fail();
        }
    }
}
