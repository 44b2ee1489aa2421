/** Customer ceilings, drawn in chunks by each owner. */
@NullMarked
package org.celerygw.core.budget;

import org.jspecify.annotations.NullMarked;
