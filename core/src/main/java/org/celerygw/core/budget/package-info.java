/** Token ceilings of customers, of which each owner draws a share in chunks. */
@NullMarked
package org.celerygw.core.budget;

import org.jspecify.annotations.NullMarked;
