/** Who is alive in the fleet, and what its daemons tell each other by gossip; without sockets or timers. */
@NullMarked
package org.celerygw.core.membership;

import org.jspecify.annotations.NullMarked;
