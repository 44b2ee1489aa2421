/** SWIM membership of the fleet and dissemination of facts by gossip; free of sockets and timers. */
@NullMarked
package org.celerygw.core.membership;

import org.jspecify.annotations.NullMarked;
