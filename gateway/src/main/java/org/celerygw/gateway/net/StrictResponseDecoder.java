package org.celerygw.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.List;

/**
 * Decodes responses, rejects heads that {@link ResponseValidator} rejects, and knows whether it holds the beginning of a
 * response, which would become the beginning of the next one.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean inHead;

    StrictResponseDecoder(int maxHeadBytes, int maxChunkBytes) {
        super(new HttpDecoderConfig().setMaxHeaderSize(maxHeadBytes).setMaxChunkSize(maxChunkBytes));
    }

    /** Returns whether bytes have arrived of which no message has been made yet. */
    boolean holdsPartOfMessage() {
        return inHead || actualReadableBytes() > 0;
    }

    /** Returns a copy of the bytes that have arrived and were not decoded yet. */
    byte[] undecodedBytes() {
        return actualReadableBytes() == 0 ? new byte[0] : ByteBufUtil.getBytes(internalBuffer());
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        inHead = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int before = out.size();
        super.decode(context, buffer, out);
        for (int i = before; i < out.size(); i++) {
            inHead = false;
            if (out.get(i) instanceof HttpResponse head
                    && head.decoderResult().isSuccess()
                    && !ResponseValidator.isValid(head)) {
                head.setDecoderResult(DecoderResult.failure(
                        new IllegalArgumentException("response head that holds a part of another response")));
            }
        }
    }
}
