/** Scheduling of requests to engines: which one starts where, which one waits, and which one is refused. */
@NullMarked
package org.celerygw.core.scheduling;

import org.jspecify.annotations.NullMarked;
