/** HTTP interface for callers: validates requests, submits them to their program's owner and writes responses. */
@NullMarked
package org.celerygw.daemon.entry;

import org.jspecify.annotations.NullMarked;
