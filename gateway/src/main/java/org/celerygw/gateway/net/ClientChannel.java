package org.celerygw.gateway.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * One client connection. Collects complete requests, rejects malformed ones, and answers pipelined requests one at a time
 * in their order.
 */
final class ClientChannel extends ChannelInboundHandlerAdapter {
    private static final int MAX_PIPELINED_OBJECTS = 64;
    /** What a client may send of later requests, which no quota counts before they are processed. */
    private static final int MAX_PIPELINED_BYTES = 16_384;
    /** Small bodies do not count against the quota, so that large ones do not displace them. */
    private static final int UNCOUNTED_BODY_BYTES = 16_384;

    private static final int RETRY_AFTER_S = 1;

    private final HttpListener listener;
    private final Deque<HttpObject> pipelined = new ArrayDeque<>();
    private ByteArrayOutputStream requestBody = new ByteArrayOutputStream();
    private @Nullable ChannelHandlerContext ctx;
    private @Nullable HttpRequest requestHead;
    private @Nullable ClientResponse response;
    private long countedBodyBytes;
    private long pipelinedBytes;
    private long headReceivedAtMs;
    private long idleSinceMs;
    private boolean closeAfterResponse;
    private boolean processingPipelined;
    private boolean inputEnded;

    ClientChannel(HttpListener listener) {
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        idleSinceMs = listener.nowMs();
        listener.addConnection(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.removeConnection(this);
        discardBody();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        ClientResponse unfinished = response;
        response = null;
        if (unfinished != null) {
            unfinished.clientDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelActions.close(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject part = (HttpObject) message;
        if (inputEnded) {
            ReferenceCountUtil.release(message);
        } else if (response != null) {
            pipelined.add(part);
            pipelinedBytes += bodyBytes(part);
            if (pipelined.size() > MAX_PIPELINED_OBJECTS || pipelinedBytes > MAX_PIPELINED_BYTES) {
                context.channel().config().setAutoRead(false);
            }
        } else {
            process(part);
        }
    }

    /** Returns whether a request is being received or answered. */
    boolean isBusy() {
        return response != null || requestHead != null;
    }

    /** Returns how long the connection has been without a request, in ms; 0 while it is busy. */
    long idleMs() {
        return isBusy() ? 0 : listener.nowMs() - idleSinceMs;
    }

    /** Returns how long ago the head of the request being received was read, in ms; 0 when none is being received. */
    long readingMs() {
        return requestHead != null && response == null ? listener.nowMs() - headReceivedAtMs : 0;
    }

    void close() {
        ChannelActions.close(ctx);
    }

    /** Closes the connection once the client has taken what was sent, unless it has sent another request by then. */
    void closeWhenIdle() {
        whenSent(() -> {
            if (!isBusy() && pipelined.isEmpty()) {
                close();
            }
        });
    }

    /** Returns whether the response is the last one; while this host stops, what was received before is answered first. */
    boolean shouldClose() {
        return closeAfterResponse || (listener.stopping() && pipelined.isEmpty());
    }

    void closeAfterResponse(boolean close) {
        closeAfterResponse |= close;
    }

    void write(Object message) {
        ChannelActions.write(ctx, message);
    }

    /** Writes a message and runs a task once it is written or dropped. */
    void write(Object message, Runnable onWritten) {
        if (ctx == null) {
            ReferenceCountUtil.release(message);
            onWritten.run();
        } else {
            ctx.writeAndFlush(message).addListener(done -> onWritten.run());
        }
    }

    void whenSent(Runnable task) {
        if (ctx == null) {
            task.run();
        } else {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> task.run());
        }
    }

    void responseFinished(boolean close) {
        response = null;
        requestHead = null;
        discardBody();
        idleSinceMs = listener.nowMs();
        if (ctx == null) {
            return;
        }
        if (close || closeAfterResponse) {
            endInput();
            whenSent(this::close);
            return;
        }
        ctx.channel().config().setAutoRead(true);
        processPipelined();
        if (listener.stopping()) {
            closeWhenIdle();
        }
    }

    /** Discards all further requests: the last response said that this connection closes, or a request was rejected. */
    private void endInput() {
        inputEnded = true;
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
    }

    private void processPipelined() {
        if (processingPipelined) {
            return;
        }
        processingPipelined = true;
        while (response == null && !pipelined.isEmpty()) {
            HttpObject part = pipelined.remove();
            pipelinedBytes -= bodyBytes(part);
            process(part);
        }
        processingPipelined = false;
    }

    private static int bodyBytes(HttpObject part) {
        return part instanceof HttpContent content ? content.content().readableBytes() : 0;
    }

    private void process(HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                reject(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest request) {
                startRequest(request);
            }
            if (requestHead != null && response == null && part instanceof HttpContent content) {
                content.content().readBytes(requestBody, content.content().readableBytes());
                if (requestBody.size() > listener.maxBodyBytes()) {
                    reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                } else if (!countBody(requestBody.size())) {
                    reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                } else if (content instanceof LastHttpContent) {
                    dispatch();
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    /** Counts the body received so far; returns false if the clients together send more than the host can hold. */
    private boolean countBody(int bodyBytes) {
        long more = Math.max(0, bodyBytes - UNCOUNTED_BODY_BYTES) - countedBodyBytes;
        if (!listener.bodyBytes().tryAcquire(more)) {
            return false;
        }
        countedBodyBytes += more;
        return true;
    }

    private void discardBody() {
        requestBody = new ByteArrayOutputStream();
        listener.bodyBytes().release(countedBodyBytes);
        countedBodyBytes = 0;
    }

    private void startRequest(HttpRequest request) {
        requestHead = request;
        headReceivedAtMs = listener.nowMs();
        closeAfterResponse = !HttpUtil.isKeepAlive(request);
        if (!RequestValidator.isValid(request)) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void dispatch() {
        HttpRequest request = Objects.requireNonNull(requestHead);
        byte[] body = requestBody.toByteArray();
        requestBody = new ByteArrayOutputStream();
        ClientResponse newResponse = new ClientResponse(this);
        response = newResponse;
        listener.handler()
                .handle(
                        new ClientRequest(request.method(), request.uri(), request.headers(), body, headReceivedAtMs),
                        newResponse);
    }

    /** Answers an invalid request with an error status and closes the connection without reading any further. */
    private void reject(HttpResponseStatus status) {
        endInput();
        requestHead = null;
        discardBody();
        DefaultFullHttpResponse errorResponse = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                Unpooled.EMPTY_BUFFER,
                new DefaultHttpHeaders()
                        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE),
                EmptyHttpHeaders.INSTANCE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            errorResponse.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_S);
        }
        if (ctx != null) {
            ctx.writeAndFlush(errorResponse).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
