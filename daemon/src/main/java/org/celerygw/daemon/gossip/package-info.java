/** UDP transport and timer for {@link org.celerygw.core.membership.Membership}. */
@NullMarked
package org.celerygw.daemon.gossip;

import org.jspecify.annotations.NullMarked;
