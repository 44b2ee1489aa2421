/**
 * How hosts help each other: digests of what each knows, and store calls on behalf of a host that the store turns away.
 * Start reading at {@link org.celerygw.gateway.peers.Peers}.
 */
@NullMarked
package org.celerygw.gateway.peers;

import org.jspecify.annotations.NullMarked;
