/** The clock that supplies the current time. */
@NullMarked
package org.celerygw.core.time;

import org.jspecify.annotations.NullMarked;
