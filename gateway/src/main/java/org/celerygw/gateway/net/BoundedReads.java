package org.celerygw.gateway.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** How much a connection reads before the other connections of its event loop have their turn. */
final class BoundedReads {
    private static final int MIN_BUFFER_BYTES = 64;
    private static final int INITIAL_BUFFER_BYTES = 2_048;
    private static final int MAX_BUFFER_BYTES = 16_384;
    private static final int MAX_READS = 4;

    /**
     * The size of a socket's buffer towards a client, and of one from an origin. By default the system lets each of them grow
     * to several MB, so that it would hold most of what slow clients do not take.
     */
    static final int SOCKET_BUFFER_BYTES = 65_536;

    private BoundedReads() {}

    static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_BUFFER_BYTES, INITIAL_BUFFER_BYTES, MAX_BUFFER_BYTES)
                .maxMessagesPerRead(MAX_READS);
    }
}
