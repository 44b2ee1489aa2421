package org.celerygw.gateway.net;

import io.netty.channel.ChannelHandlerContext;
import org.jspecify.annotations.Nullable;

/** Writes and closes whose outcome nobody waits for: a connection that breaks tells so itself. */
final class Quiet {
    private Quiet() {}

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
