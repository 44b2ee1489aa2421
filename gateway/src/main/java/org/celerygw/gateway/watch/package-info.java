/** Watches tables of the store: reads a snapshot, then the changes, and recovers from failed polls and lost history. */
@NullMarked
package org.celerygw.gateway.watch;

import org.jspecify.annotations.NullMarked;
