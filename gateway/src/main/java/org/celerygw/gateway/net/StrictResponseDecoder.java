package org.celerygw.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import org.celerygw.core.helper.StatusLine;

/**
 * Decodes responses, rejects malformed heads and those that {@link ResponseValidator} rejects, and knows whether it holds
 * the beginning of a response, which would become the beginning of the next one.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private boolean inHead;
    private boolean headRequest;

    StrictResponseDecoder(int maxHeadBytes, int maxChunkBytes) {
        super(new HttpDecoderConfig().setMaxHeaderSize(maxHeadBytes).setMaxChunkSize(maxChunkBytes));
    }

    /** Sets the method of the request whose response comes next: one to HEAD has no body, whatever its length says. */
    void setRequestMethod(HttpMethod method) {
        headRequest = HttpMethod.HEAD.equals(method);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
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
        if (!StatusLine.isStatus(initialLine[1])) {
            throw new IllegalArgumentException("status code that has not three digits or no class");
        }
        return super.createMessage(initialLine);
    }

    /** Rejects a line without a colon, of which the superclass would take the first word for a name without a value. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
            end++;
        }
        if (end == line.length || line[end] != ':') {
            throw new IllegalArgumentException("header line without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Rejects a length beside the chunked coding, which the superclass would drop. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("Content-Length beside Transfer-Encoding");
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
                head.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(
                        "response head with ambiguous framing or a part of another response")));
            }
        }
    }
}
