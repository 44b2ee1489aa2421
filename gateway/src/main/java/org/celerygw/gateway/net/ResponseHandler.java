package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of an origin to one request, on the event loop: the head, then any number of body parts, then the
 * end. A failure may replace the remaining calls at any point; nothing is called after the end or a failure.
 */
public interface ResponseHandler {
    /**
     * Called with the head of the response.
     *
     * @param head the status line and the header section
     */
    void onHead(HttpResponse head);

    /**
     * Called with the next part of the body.
     *
     * @param bytes a copy that the callee may retain
     */
    void onBody(byte[] bytes);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when no complete response will arrive.
     *
     * @param sent false when no byte of the request has left this host, so that the origin cannot have processed it
     */
    void onFailure(boolean sent);

    /** Called instead of {@link #onFailure} when the origin has sent what is no valid response; it may have processed it. */
    default void onMalformed() {
        onFailure(true);
    }
}
