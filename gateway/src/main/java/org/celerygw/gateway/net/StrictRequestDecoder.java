package org.celerygw.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests; marks one that states its length in two ways, which Netty would mend silently. */
final class StrictRequestDecoder extends HttpRequestDecoder {
    static final String TWO_LENGTHS = "x-two-lengths";

    StrictRequestDecoder(int maxHeadBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(maxHeadBytes)
                .setMaxHeaderSize(maxHeadBytes)
                .setMaxChunkSize(65_536));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        message.headers().set(TWO_LENGTHS, "1");
    }
}
