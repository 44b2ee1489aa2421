package org.celerygw.core.peers;

import org.celerygw.core.gen.peers.Digest;

/**
 * The newest digest of another host.
 *
 * @param digest what it told
 * @param heardAtMs when, in ms
 */
public record Told(Digest digest, long heardAtMs) {}
