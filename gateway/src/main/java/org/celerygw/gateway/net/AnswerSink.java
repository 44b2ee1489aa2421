package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpResponse;

/** Hears one answer of an origin, on the event loop: head, body parts, end; or broken at any point, as the last call. */
public interface AnswerSink {
    /**
     * The head has come.
     *
     * @param head status and headers
     */
    void head(HttpResponse head);

    /**
     * Bytes of the body have come.
     *
     * @param bytes the bytes
     */
    void body(byte[] bytes);

    /** The answer is whole. */
    void end();

    /**
     * No whole answer will come.
     *
     * @param sent false when no byte of the request has left this host
     */
    void broken(boolean sent);
}
