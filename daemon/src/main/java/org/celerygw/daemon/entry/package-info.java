/** The callers' side: HTTP requests are checked, sent to the owner of their program, and answered. */
@NullMarked
package org.celerygw.daemon.entry;

import org.jspecify.annotations.NullMarked;
