package org.celerygw.gateway.peers;

import java.net.InetSocketAddress;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.gateway.net.OriginPool;

/** Another host, with its connections and its most recent digest. */
final class Peer {
    final InetSocketAddress address;
    final OriginPool originPool;
    /** From its row or its digests; empty while neither is known. */
    String name = "";

    Digest digest = Digest.getDefaultInstance();
    long lastSeenAtMs;

    Peer(InetSocketAddress address, OriginPool originPool, long nowMs) {
        this.address = address;
        this.originPool = originPool;
        this.lastSeenAtMs = nowMs;
    }
}
