/** Calls between daemons over TCP, with streams, cancellation, back-pressure, heartbeats and authentication. */
@NullMarked
package org.celerygw.daemon.peer;

import org.jspecify.annotations.NullMarked;
