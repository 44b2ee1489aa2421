/**
 * Decides which engine loads which models, and turns that into orders that may be repeated.
 *
 * <p>Start from {@link org.celerygw.core.placement.Steward} for one engine and
 * {@link org.celerygw.core.placement.Planner} for all.
 */
@NullMarked
package org.celerygw.core.placement;

import org.jspecify.annotations.NullMarked;
