/** Routes requests to the owner of a program, on this host or a peer, and retries while the owner changes. */
@NullMarked
package org.celerygw.daemon.route;

import org.jspecify.annotations.NullMarked;
