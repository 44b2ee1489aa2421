/**
 * Decides which waiting model call starts next, on which engine, and which is refused.
 *
 * <p>Start from {@link org.celerygw.core.routing.Dispatcher}.
 */
@NullMarked
package org.celerygw.core.routing;

import org.jspecify.annotations.NullMarked;
