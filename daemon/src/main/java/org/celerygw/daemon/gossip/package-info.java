/** Membership over UDP: the socket and the timer round {@link org.celerygw.core.membership.Membership}. */
@NullMarked
package org.celerygw.daemon.gossip;

import org.jspecify.annotations.NullMarked;
