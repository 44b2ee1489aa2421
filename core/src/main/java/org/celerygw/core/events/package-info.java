/** Splits a stream of events into whole events, so that nothing half is passed on. */
@NullMarked
package org.celerygw.core.events;

import org.jspecify.annotations.NullMarked;
