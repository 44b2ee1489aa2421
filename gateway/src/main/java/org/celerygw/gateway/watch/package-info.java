/** Follows tables of the store: reads them whole, then as they change, and notices silence and lost history. */
@NullMarked
package org.celerygw.gateway.watch;

import org.jspecify.annotations.NullMarked;
