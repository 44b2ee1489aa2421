package org.celerygw.gateway.peers;

import java.net.InetSocketAddress;
import org.celerygw.core.gen.peers.Digest;
import org.celerygw.gateway.net.Origin;

/** Another host, with its newest digest. */
final class Peer {
    final InetSocketAddress address;
    final Origin origin;
    Digest digest = Digest.getDefaultInstance();
    long heardAtMs;

    Peer(InetSocketAddress address, Origin origin, long nowMs) {
        this.address = address;
        this.origin = origin;
        this.heardAtMs = nowMs;
    }
}
