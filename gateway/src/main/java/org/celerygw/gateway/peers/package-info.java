/**
 * Cooperation between hosts: digests in which each host reports its state, and store calls that a peer makes on behalf of
 * a host that the store does not answer. The entry point is {@link org.celerygw.gateway.peers.Peers}.
 */
@NullMarked
package org.celerygw.gateway.peers;

import org.jspecify.annotations.NullMarked;
