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

/** One connection of a client: reads whole requests strictly, one answer after the other. */
final class ClientChannel extends ChannelInboundHandlerAdapter {
    private static final int MOST_AHEAD = 64;

    private final Listener listener;
    private final Deque<HttpObject> ahead = new ArrayDeque<>();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private @Nullable ChannelHandlerContext ctx;
    private @Nullable HttpRequest head;
    private @Nullable Reply reply;
    private long headAtMs;
    private long quietSinceMs;
    private boolean closeAfterReply;
    private boolean draining;
    private boolean refused;

    ClientChannel(Listener listener) {
        this.listener = listener;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        quietSinceMs = listener.nowMs();
        listener.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.closed(this);
        ahead.forEach(ReferenceCountUtil::release);
        ahead.clear();
        Reply open = reply;
        reply = null;
        if (open != null) {
            open.clientLeft();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Quiet.close(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        HttpObject object = (HttpObject) message;
        if (refused) {
            ReferenceCountUtil.release(message);
        } else if (reply != null) {
            ahead.add(object);
            if (ahead.size() > MOST_AHEAD) {
                context.channel().config().setAutoRead(false);
            }
        } else {
            take(object);
        }
    }

    /** Returns whether a request is being read or answered. */
    boolean busy() {
        return reply != null || head != null;
    }

    long quietMs() {
        return busy() ? 0 : listener.nowMs() - quietSinceMs;
    }

    /** Returns how long the present request has been coming in; 0 when none is. */
    long readingMs() {
        return head != null && reply == null ? listener.nowMs() - headAtMs : 0;
    }

    void close() {
        Quiet.close(ctx);
    }

    boolean mustClose() {
        return closeAfterReply || listener.stopping();
    }

    void closeAfterReply(boolean close) {
        closeAfterReply |= close;
    }

    void write(Object message) {
        Quiet.write(ctx, message);
    }

    void replied(boolean close) {
        reply = null;
        head = null;
        body = new ByteArrayOutputStream();
        quietSinceMs = listener.nowMs();
        if (ctx == null) {
            return;
        }
        if (close || closeAfterReply) {
            ahead.forEach(ReferenceCountUtil::release);
            ahead.clear();
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            return;
        }
        ctx.channel().config().setAutoRead(true);
        drainAhead();
    }

    private void drainAhead() {
        if (draining) {
            return;
        }
        draining = true;
        while (reply == null && !ahead.isEmpty()) {
            take(ahead.poll());
        }
        draining = false;
    }

    private void take(HttpObject object) {
        try {
            if (object.decoderResult().isFailure()) {
                refuse(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (object instanceof HttpRequest request) {
                begin(request);
            }
            if (head != null && reply == null && object instanceof HttpContent content) {
                content.content().readBytes(body, content.content().readableBytes());
                if (body.size() > listener.maxBodyBytes()) {
                    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                } else if (content instanceof LastHttpContent) {
                    dispatch();
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            ReferenceCountUtil.release(object);
        }
    }

    private void begin(HttpRequest request) {
        head = request;
        headAtMs = listener.nowMs();
        closeAfterReply = !HttpUtil.isKeepAlive(request);
        if (!RequestCheck.sound(request)) {
            refuse(HttpResponseStatus.BAD_REQUEST);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void dispatch() {
        HttpRequest request = Objects.requireNonNull(head);
        Reply fresh = new Reply(this);
        reply = fresh;
        listener.handler()
                .handle(
                        new Incoming(request.method(), request.uri(), request.headers(), body.toByteArray(), headAtMs),
                        fresh);
    }

    /** Answers what is no sound request and reads nothing more on this connection. */
    private void refuse(HttpResponseStatus status) {
        refused = true;
        head = null;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                Unpooled.EMPTY_BUFFER,
                new DefaultHttpHeaders()
                        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE),
                EmptyHttpHeaders.INSTANCE);
        if (ctx != null) {
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
