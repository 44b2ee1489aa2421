/**
 * Queueing, admission control and routing of model calls to engines.
 *
 * <p>The entry point is {@link org.celerygw.core.routing.Dispatcher}.
 */
@NullMarked
package org.celerygw.core.routing;

import org.jspecify.annotations.NullMarked;
