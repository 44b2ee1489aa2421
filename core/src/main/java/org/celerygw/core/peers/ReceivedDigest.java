package org.celerygw.core.peers;

import org.celerygw.core.gen.peers.Digest;

/**
 * The latest digest received from a peer.
 *
 * @param digest the digest
 * @param receivedAtMs when it was received, in ms
 * @param sameGroup whether the peer belongs to this host's group and so reports each change
 */
public record ReceivedDigest(Digest digest, long receivedAtMs, boolean sameGroup) {}
