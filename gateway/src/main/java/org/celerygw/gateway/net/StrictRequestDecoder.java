package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and marks those with both Content-Length and Transfer-Encoding, for which Netty would drop the length
 * silently; {@link RequestValidator} rejects them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    static final String CONFLICTING_LENGTH_HEADER = "x-two-lengths";

    StrictRequestDecoder(int maxHeadBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeadBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(65_536));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.headers().set(CONFLICTING_LENGTH_HEADER, "1");
    }
}
