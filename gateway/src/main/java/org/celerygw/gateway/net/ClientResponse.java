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

/**
 * The response to one client request. It is sent either at once by {@link #send}, or as a stream by {@link #start},
 * {@link #sendBody} and {@link #finish}; {@link #abort} ends it at any point by closing the connection.
 */
public final class ClientResponse {
    private final ClientChannel channel;
    private Runnable onClientDisconnect = () -> {};
    private boolean started;
    private boolean finished;

    ClientResponse(ClientChannel channel) {
        this.channel = channel;
    }

    /**
     * Sets the action to run when the client disconnects before the response is finished.
     *
     * @param callback runs at most once, on the event loop
     */
    public void onClientDisconnect(Runnable callback) {
        onClientDisconnect = callback;
    }

    /**
     * Returns whether nothing more can be sent.
     *
     * @return true after the end of the response, or when the client has disconnected
     */
    public boolean finished() {
        return finished;
    }

    /**
     * Returns whether the head of a streamed response has been sent.
     *
     * @return true after {@link #start}
     */
    public boolean started() {
        return started;
    }

    /**
     * Sends a complete response; does nothing when the response is finished.
     *
     * @param status the status code
     * @param headers all headers except Content-Length and Connection; modified by this call
     * @param body the complete body
     */
    public void send(int status, HttpHeaders headers, byte[] body) {
        if (finished) {
            return;
        }
        finished = true;
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
                headers,
                EmptyHttpHeaders.INSTANCE);
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        boolean close = addCloseHeaderIfNeeded(response);
        channel.write(response);
        channel.responseFinished(close);
    }

    /**
     * Sends the head of a response whose length is not known yet; its body is sent with the chunked transfer coding.
     *
     * @param status the status code
     * @param headers all headers except Transfer-Encoding and Connection; modified by this call
     */
    public void start(int status, HttpHeaders headers) {
        if (finished) {
            return;
        }
        started = true;
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.closeAfterResponse(addCloseHeaderIfNeeded(response));
        channel.write(response);
    }

    /**
     * Sends the next part of the body of a streamed response.
     *
     * @param bytes the part; nothing is sent when it is empty
     */
    public void sendBody(byte[] bytes) {
        sendBody(bytes, () -> {});
    }

    /**
     * Sends the next part of the body of a streamed response.
     *
     * @param bytes the part; nothing is sent when it is empty
     * @param onSent runs once the client's connection has taken the part, or is closed; possibly during this call
     */
    public void sendBody(byte[] bytes, Runnable onSent) {
        if (!finished && bytes.length > 0) {
            channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), onSent);
        } else {
            onSent.run();
        }
    }

    /**
     * Runs a task once the client has taken all that was sent so far, or is gone.
     *
     * @param task runs on the event loop, possibly during this call
     */
    public void whenSent(Runnable task) {
        channel.whenSent(task);
    }

    /** Ends a streamed response with its last chunk. */
    public void finish() {
        if (finished) {
            return;
        }
        finished = true;
        channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        channel.responseFinished(false);
    }

    /** Closes the connection before the last chunk, so that the client can see that the response is incomplete. */
    public void abort() {
        if (!finished) {
            finished = true;
            channel.close();
        }
    }

    void clientDisconnected() {
        if (!finished) {
            finished = true;
            onClientDisconnect.run();
        }
    }

    private boolean addCloseHeaderIfNeeded(HttpResponse response) {
        boolean close = channel.shouldClose();
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }
}
