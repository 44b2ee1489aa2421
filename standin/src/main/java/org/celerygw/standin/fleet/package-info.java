/** Simulates a fleet's membership protocol in one process, with the real datagram encoding and injected faults. */
@NullMarked
package org.celerygw.standin.fleet;

import org.jspecify.annotations.NullMarked;
