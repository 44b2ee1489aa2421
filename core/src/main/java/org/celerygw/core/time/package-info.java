/** The clock, in milliseconds. */
@NullMarked
package org.celerygw.core.time;

import org.jspecify.annotations.NullMarked;
