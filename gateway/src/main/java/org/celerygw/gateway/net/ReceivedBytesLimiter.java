package org.celerygw.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Drops what an origin sends beyond the limit. Stands before the decoder, which skips some bytes without a trace, such as
 * line feeds before a response.
 */
final class ReceivedBytesLimiter extends ChannelInboundHandlerAdapter {
    private final OriginChannel origin;

    ReceivedBytesLimiter(OriginChannel origin) {
        this.origin = origin;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && !origin.accepts(bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }
}
