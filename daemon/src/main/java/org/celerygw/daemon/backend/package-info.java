/** Calls to engines and tool services, with a truthful account of whether a call that failed has run. */
@NullMarked
package org.celerygw.daemon.backend;

import org.jspecify.annotations.NullMarked;
