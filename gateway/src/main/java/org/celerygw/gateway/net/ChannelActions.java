package org.celerygw.gateway.net;

import io.netty.channel.ChannelHandlerContext;
import org.jspecify.annotations.Nullable;

/**
 * Writes to and closes channels without waiting for the result; a broken connection is reported by the events of its channel.
 */
final class ChannelActions {
    private ChannelActions() {}

    static void close(@Nullable ChannelHandlerContext ctx) {
        if (ctx != null) {
            var unused = ctx.close();
        }
    }

    static void write(@Nullable ChannelHandlerContext ctx, Object message) {
        if (ctx != null) {
            var unused = ctx.writeAndFlush(message);
        }
    }
}
