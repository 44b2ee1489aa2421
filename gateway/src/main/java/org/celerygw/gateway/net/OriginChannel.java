package org.celerygw.gateway.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
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
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** One connection to an origin: carries one request at a time and trusts no byte that it did not ask for. */
final class OriginChannel extends ChannelInboundHandlerAdapter {
    private final Origin origin;
    private @Nullable ChannelHandlerContext ctx;
    private @Nullable Pending pending;
    private @Nullable ChannelFuture written;
    private boolean passingOver;
    private boolean keepAlive;
    private boolean answered;
    private boolean dead;
    private long idleSinceMs;
    private long serverKeepsMs = Long.MAX_VALUE;

    OriginChannel(Origin origin) {
        this.origin = origin;
    }

    /** A request and who hears its answer. */
    private static final class Pending implements Origin.Sent {
        private final OriginChannel channel;
        private final Outgoing request;
        private final Predicate<HttpResponse> own;
        private final AnswerSink sink;
        private boolean sent;
        private boolean over;

        Pending(OriginChannel channel, Outgoing request, Predicate<HttpResponse> own, AnswerSink sink) {
            this.channel = channel;
            this.request = request;
            this.own = own;
            this.sink = sink;
        }

        @Override
        public void cancel() {
            if (!over) {
                over = true;
                channel.pending = null;
                channel.close();
            }
        }

        void fail() {
            if (!over) {
                over = true;
                sink.broken(sent);
            }
        }
    }

    Origin.Sent start(Outgoing request, Predicate<HttpResponse> own, AnswerSink sink) {
        Pending next = new Pending(this, request, own, sink);
        pending = next;
        answered = false;
        passingOver = false;
        if (ctx != null && ctx.channel().isActive()) {
            write(next);
        }
        return next;
    }

    boolean isOpen() {
        return !dead && ctx != null && ctx.channel().isActive();
    }

    void close() {
        dead = true;
        Quiet.close(ctx);
    }

    void connectFailed() {
        dead = true;
        fail();
    }

    long idleMs(long nowMs) {
        return nowMs - idleSinceMs;
    }

    void idleSince(long nowMs) {
        idleSinceMs = nowMs;
    }

    /** Returns how long the connection may stay idle: well below what the server said. */
    long keepMs(long ownLimitMs) {
        return Math.min(ownLimitMs, serverKeepsMs / 10 * 6);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        ctx = context;
        if (dead) {
            Quiet.close(context);
        } else if (pending != null) {
            write(pending);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (pending == null || !(message instanceof HttpObject object)) {
                // Bytes that nobody asked for belong to no request.
                close();
            } else if (object.decoderResult().isFailure()) {
                fail();
                close();
            } else {
                read(pending, object);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (answered && pending == null) {
            answered = false;
            if (keepAlive && !dead && written != null && written.isSuccess()) {
                origin.giveBack(this);
            } else {
                close();
            }
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        dead = true;
        origin.lost(this);
        fail();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset: told before the decoder could take the end of the connection for the end of the answer.
        fail();
        close();
    }

    private void write(Pending next) {
        Outgoing r = next.request;
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                r.method(),
                r.uri(),
                Unpooled.wrappedBuffer(r.body()),
                r.headers(),
                EmptyHttpHeaders.INSTANCE);
        boolean hasBody =
                r.body().length > 0 || HttpMethod.POST.equals(r.method()) || HttpMethod.PUT.equals(r.method());
        if (hasBody) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, r.body().length);
        }
        next.sent = true;
        if (ctx != null) {
            written = ctx.writeAndFlush(message);
        }
    }

    private void read(Pending current, HttpObject object) {
        if (object instanceof HttpResponse head) {
            boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            passingOver = informational || !current.own.test(head);
            keepAlive = HttpUtil.isKeepAlive(head);
            noteKeepAlive(head);
            if (!passingOver) {
                current.sink.head(head);
            }
        }
        if (object instanceof HttpContent content && !current.over) {
            readContent(current, content);
        }
    }

    private void readContent(Pending current, HttpContent content) {
        if (!passingOver && content.content().isReadable()) {
            current.sink.body(ByteBufUtil.getBytes(content.content()));
        }
        if (!(content instanceof LastHttpContent) || current.over) {
            return;
        }
        if (passingOver) {
            passingOver = false;
            return;
        }
        current.over = true;
        pending = null;
        answered = true;
        current.sink.end();
    }

    private void noteKeepAlive(HttpResponse head) {
        String value = head.headers().get("Keep-Alive", "");
        int at = value.indexOf("timeout=");
        if (at < 0) {
            return;
        }
        int from = at + "timeout=".length();
        int to = from;
        while (to < value.length() && to < from + 6 && Character.isDigit(value.charAt(to))) {
            to++;
        }
        if (to > from) {
            serverKeepsMs = 1_000L * Integer.parseInt(value.substring(from, to));
        }
    }

    private void fail() {
        Pending current = pending;
        pending = null;
        if (current != null) {
            current.fail();
        }
    }
}
