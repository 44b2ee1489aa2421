package org.celerygw.gateway.net;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** The answer to one request: either whole, or begun, continued and finished; broken off by closing the connection. */
public final class Reply {
    private final ClientChannel channel;
    private Runnable onGone = () -> {};
    private boolean begun;
    private boolean over;

    Reply(ClientChannel channel) {
        this.channel = channel;
    }

    /**
     * Sets what to do when the client leaves before the answer is over.
     *
     * @param task runs at most once
     */
    public void onGone(Runnable task) {
        onGone = task;
    }

    /**
     * Returns whether nothing more can be sent.
     *
     * @return true after the end, or when the client has left
     */
    public boolean over() {
        return over;
    }

    /**
     * Returns whether the head is out.
     *
     * @return true after {@link #begin}
     */
    public boolean begun() {
        return begun;
    }

    /**
     * Answers at once.
     *
     * @param status the status
     * @param headers headers besides those of length and connection
     * @param body the whole body
     */
    public void whole(int status, HttpHeaders headers, byte[] body) {
        if (over) {
            return;
        }
        over = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
                headers,
                EmptyHttpHeaders.INSTANCE);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        boolean close = mark(response);
        channel.write(response);
        channel.replied(close);
    }

    /**
     * Begins an answer whose length is not known yet.
     *
     * @param status the status
     * @param headers headers besides those of length and connection
     */
    public void begin(int status, HttpHeaders headers) {
        if (over) {
            return;
        }
        begun = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.closeAfterReply(mark(response));
        channel.write(response);
    }

    /**
     * Sends the next bytes of a begun answer.
     *
     * @param bytes the bytes
     */
    public void part(byte[] bytes) {
        if (!over && bytes.length > 0) {
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        }
    }

    /** Ends a begun answer. */
    public void finish() {
        if (over) {
            return;
        }
        over = true;
        channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        channel.replied(false);
    }

    /** Closes the connection, so that the answer cannot look whole. */
    public void abort() {
        if (!over) {
            over = true;
            channel.close();
        }
    }

    void clientLeft() {
        if (!over) {
            over = true;
            onGone.run();
        }
    }

    private boolean mark(HttpResponse response) {
        boolean close = channel.mustClose();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }
}
